// The load of the process tests at Armor sizes: open feeds, short TCP flows,
// and UDP requests that may and that must not run twice.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "support/test_cluster.h"

namespace radishyard {

/// \brief Path of a table file of the Armor examples.
std::string ArmorTable(const std::string& service);

/// \brief Applies both tables, waits until they are in force, opens `feeds`
/// feeds and waits for them. \returns what went wrong; empty where nothing did.
std::string StartArmor(test_cluster& w, int feeds);

/// \brief Starts short flows of all kinds that go on for about `for_s` seconds.
/// \param most_ms longest service time.
void StartFlows(test_cluster& w, int for_s, int most_ms = 5);

/// \brief Waits for the end of all short flows, then closes the feeds.
/// \returns the report of the callers.
nlohmann::json EndLoad(test_cluster& w);

/// \brief Longest time between two accepted flows, over the TCP runs, in ms.
double LongestGap(const nlohmann::json& report);

}  // namespace radishyard
