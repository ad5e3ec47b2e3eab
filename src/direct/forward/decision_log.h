// The log lines of decisions on packets and of what a balancer believes of
// upstreams, with what each rests on.
#pragma once
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "direct/forward/forwarder.h"
#include "direct/forward/silence_message.h"
#include "direct/upstream/direct_packet.h"
#include "direct/upstream/upstream_directory.h"

namespace radishyard {

/// \brief Age of the upstream list in milliseconds, as log lines contain it.
uint64_t ListAgeMs(const upstream_directory& directory, time_point now);

/// \brief Logs every decision except the usual one: forwarding new data by its
/// mark.
void LogVerdict(const direct_packet& packet, const verdict& decision,
                const forwarding_state& state, time_point now);

/// \brief Logs what a list has changed.
void LogDirectoryChanges(const std::vector<directory_change>& changes,
                         uint64_t revision);

/// \brief Logs which domains are evacuated now.
/// \param source the platform, or the balancer that reported the change.
void LogEvacuations(const std::string& source,
                    const evacuation_set& evacuations);

/// \brief Logs changes of health states, with the statistics that led to them.
void LogHealthChanges(const std::vector<health_change>& changes,
                      const upstream_directory& directory);

/// \brief Logs changed shares, one line for each domain with what the decision
/// was based on.
void LogShareChanges(const std::vector<service_shares>& changes);

/// \brief Logs a notice of another balancer.
/// \param is_contradicted an upstream that it calls silent is alive.
void LogNotice(const silence_notice& notice, bool is_contradicted);

}  // namespace radishyard
