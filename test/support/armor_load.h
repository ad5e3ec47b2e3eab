// Load for the process tests with the tables of the Armor examples: long-lived
// TCP feeds, short TCP flows, and UDP requests that are idempotent or not.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "support/test_cluster.h"

namespace radishyard {

/// \brief Path of the table file of `service` in the Armor examples.
std::string ArmorTableFile(const std::string& service);

/// \brief Applies the tables of both Armor services, waits until they are in
/// force, then opens `feeds` feeds and waits until they are accepted.
/// \returns an error message; empty on success.
std::string ApplyTablesAndOpenFeeds(test_cluster& w, int feeds);

/// \brief Starts one run of short TCP flows, one of non-idempotent and one of
/// idempotent UDP requests.
/// \param duration_s time over which each run opens its flows, in seconds.
/// \param max_service_ms longest service time of a request, in ms.
void StartShortFlows(test_cluster& w, int duration_s, int max_service_ms = 5);

/// \brief Waits until all short flows have ended, then closes the feeds.
/// \returns the report of the caller stand-in.
nlohmann::json WaitForFlowsAndCloseFeeds(test_cluster& w);

/// \brief Longest time between two successive accepted flows of one run, over
/// all runs of requests, in ms.
double LongestAcceptGapMs(const nlohmann::json& report);

}  // namespace radishyard
