// Conditional updates of rosters. After a lost reply of the store, the roster
// is read back.
#include "control/roster_cache.h"

#include <cassert>

#include "observe/log.h"
#include "roster/roster_json.h"

namespace radishyard {
namespace {

constexpr duration kReadBackDelay = 200ms;

}  // namespace

roster_cache::roster_cache(asio::io_context& io, object_store& store,
                           change_handler on_change)
    : timer_(io), store_(store), on_change_(std::move(on_change)) {}

versioned_roster roster_cache::Latest(const std::string& domain) const {
  const auto found = held_.find(domain);
  if (found != held_.end()) return found->second;
  versioned_roster none;
  none.value.domain = domain;
  return none;
}

bool roster_cache::Apply(const stored_object& object) {
  findings found;
  std::optional<roster> parsed = ParseRoster(object.value, found);
  if (!parsed || KeyOf(parsed->domain) != object.key) {
    Log(severity::kWarn, "roster_malformed",
        {{"key", object.key}, {"findings", found.Text()}});
    return false;
  }
  versioned_roster& held = held_[parsed->domain];
  if (object.version <= held.version) return false;
  held = {std::move(*parsed), object.version};
  on_change_(held);
  return true;
}

void roster_cache::ApplyConfirmed(const roster& next, uint64_t version) {
  versioned_roster& held = held_[next.domain];
  if (version <= held.version) return;
  held = {next, version};
  on_change_(held);
}

void roster_cache::Propose(const roster& next,
                           const proposal_handler& handler) {
  assert(!proposing_ && "one proposal at a time");
  proposing_ = true;
  const uint64_t expected = Latest(next.domain).version;
  const auto on_put_done = [this, next, handler](
                               std::optional<uint64_t> version,
                               const failure& why) {
    if (version) {
      proposing_ = false;
      handler(proposal_outcome::kConfirmed, *version);
      ApplyConfirmed(next, *version);
    } else if (why.kind == failure_kind::kUnavailable) {
      proposing_ = false;
      handler(proposal_outcome::kFailed, 0);
    } else {
      const bool is_conflict = why.kind == failure_kind::kConflict;
      handler(is_conflict ? proposal_outcome::kConflict
                          : proposal_outcome::kUnknown,
              0);
      ReadBack(next.domain);
    }
  };
  store_.Put(KeyOf(next.domain), ToJson(next), expected, on_put_done);
}

// Reads the domain's roster until the store replies. Even the proposed roster
// does not confirm the proposal here: a read may be stale, and only a version
// that is newer than the base version resolves it.
void roster_cache::ReadBack(const std::string& domain) {
  store_.Get(KeyOf(domain), [this, domain](std::optional<stored_object> object,
                                           const failure& why) {
    if (!object && why.kind != failure_kind::kNotFound) {
      timer_.expires_after(kReadBackDelay);
      timer_.async_wait([this, domain](error_code error) {
        if (!error) ReadBack(domain);
      });
      return;
    }
    proposing_ = false;
    if (object) Apply(*object);
  });
}

}  // namespace radishyard
