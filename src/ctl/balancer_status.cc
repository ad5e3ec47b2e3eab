// Parses status pages and tolerates unknown and missing fields.
#include "ctl/balancer_status.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "table/json_check.h"
#include "table/json_read.h"

namespace radishyard {
namespace {

using internal::GetField;
using internal::ReadField;
using nlohmann::json;

// Returns the number in the field `key` of each member of `object`.
std::map<std::string, uint64_t> ReadNumberOfEachMember(const json& object,
                                                       const char* key) {
  std::map<std::string, uint64_t> numbers;
  if (!object.is_object()) return numbers;
  for (const auto& [name, row] : object.items())
    ReadField(row, key, numbers[name]);
  return numbers;
}

pool_status ReadPool(const json& row) {
  pool_status pool;
  ReadField(row, "service", pool.service);
  ReadField(row, "domain", pool.domain);
  ReadField(row, "owner", pool.is_owner);
  ReadField(row, "connections", pool.connections);
  ReadField(row, "slots", pool.slots);
  ReadField(row, "queued", pool.queued);
  return pool;
}

}  // namespace

std::optional<balancer_status> ParseStatus(std::string_view text) {
  findings ignored;
  const std::optional<json> page = internal::ParseJson(text, ignored);
  if (!page || !page->is_object()) return std::nullopt;
  balancer_status status;
  ReadField(*page, "balancer", status.balancer);
  ReadField(*page, "domain", status.domain);
  ReadField(*page, "incarnation", status.incarnation);
  status.versions =
      ReadNumberOfEachMember(GetField(*page, "services"), "version");
  status.epochs = ReadNumberOfEachMember(GetField(*page, "rosters"), "epoch");
  status.evacuations =
      ReadNumberOfEachMember(GetField(*page, "evacuations"), "version");
  const json& flows = GetField(*page, "flows");
  ReadField(flows, "open", status.open_flows);
  ReadField(flows, "queued", status.queued_flows);
  const json& pools = GetField(*page, "pools");
  if (!pools.is_array()) return status;
  for (const json& row : pools) status.pools.push_back(ReadPool(row));
  return status;
}

}  // namespace radishyard
