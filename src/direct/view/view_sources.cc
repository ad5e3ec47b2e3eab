// Keeps the sources in the order of their reports.
#include "direct/view/view_sources.h"

namespace radishyard {

void RecordSource(std::vector<view_source>& sources,
                  const view_source& source) {
  std::erase_if(sources, [&source](const view_source& s) {
    return s.peer == source.peer;
  });
  if (sources.size() >= kMaxViewSources) sources.erase(sources.begin());
  sources.push_back(source);
}

std::optional<endpoint> SelectSource(std::vector<view_source>& sources,
                                     uint64_t table_version,
                                     const store_revision& revision,
                                     uint64_t round, time_point now) {
  std::erase_if(sources, [&](const view_source& s) {
    const bool is_newer =
        s.table_version > table_version || s.revision > revision;
    return !is_newer || now - s.reported_at > kViewSourceRetention;
  });
  if (sources.empty()) return std::nullopt;
  return sources[round % sources.size()].peer;
}

}  // namespace radishyard
