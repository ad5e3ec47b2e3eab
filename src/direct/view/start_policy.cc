// The order in which the reasons to wait are checked.
#include "direct/view/start_policy.h"

namespace radishyard {

bool AwaitsPeerView(const start_state& state, time_point now) {
  if (!state.has_seeds) return false;
  const duration elapsed = now - state.started_at;
  if (elapsed < kDiscoveryTime) return true;
  if (state.is_fetching && elapsed < kMaxFetchWait) return true;
  const bool others_read = state.has_members && !state.is_reader;
  return state.is_first_start && others_read && elapsed < kMaxFirstStartWait;
}

}  // namespace radishyard
