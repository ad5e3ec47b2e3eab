// Fetches snapshots from balancers that have reported a newer view. A balancer
// that is busy closes the connection; then another one is asked.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "base/asio.h"
#include "direct/view/view_message.h"
#include "direct/view/view_sources.h"
#include "peer/peer_link.h"
#include "store/answer_timing.h"

namespace radishyard {

/// \brief A fetch that takes longer is abandoned.
inline constexpr duration kFetchTimeout = 600ms;
/// \brief Delay before another source is asked.
inline constexpr duration kFetchRetryDelay = 100ms;
/// \brief Time in which a newer view has been fetched even if the first source
/// does not answer: kFetchTimeout + kFetchRetryDelay + a read.
inline constexpr duration kMaxFetchTime =
    kFetchTimeout + kFetchRetryDelay + kReadTimeAllowance;

/// \brief Callbacks of the fetcher to its owner.
struct fetch_handlers {
  /// Returns the request for what this balancer lacks.
  std::function<snapshot_request()> make_request;
  /// Returns a source that still has a newer view than this balancer.
  std::function<std::optional<endpoint>(std::vector<view_source>&)> select;
  std::function<void(const endpoint& peer, const view_snapshot&)> on_snapshot;
};

/// \brief At most one fetch at a time. Owned by a shared_ptr, which operations
/// in progress hold.
class snapshot_fetcher : public std::enable_shared_from_this<snapshot_fetcher> {
 public:
  snapshot_fetcher(asio::io_context& io, fetch_handlers handlers,
                   std::shared_ptr<peer_counters> counters);

  /// \brief Remembers a source, and starts a fetch unless one is in progress.
  void AddSource(const view_source& source);
  void Stop();
  bool IsActive() const { return socket_ != nullptr; }

 private:
  void Fetch();
  void Request(const endpoint& peer);
  void HandleSnapshot(const endpoint& peer, const view_snapshot& snapshot);
  void End();
  void EndAndRetry();

  asio::io_context& io_;
  fetch_handlers handlers_;
  std::shared_ptr<peer_counters> counters_;
  asio::steady_timer timeout_timer_;
  asio::steady_timer retry_timer_;
  std::vector<view_source> sources_;
  /// Null if no fetch is active.
  std::shared_ptr<asio::ip::tcp::socket> socket_;
  std::shared_ptr<peer_link> link_;  ///< Connection of the active fetch.
  bool is_stopped_ = false;
};

}  // namespace radishyard
