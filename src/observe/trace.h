// Traces: the hops of sampled flows, written as JSON lines through the
// OpenTracing interface.
#pragma once
#include <atomic>
#include <memory>
#include <string>

#include "base/asio.h"
#include "base/failure.h"
#include "traffic/traffic_sink.h"

namespace radishyard {

/// \brief Most hops that wait for being written; further ones are dropped and
/// counted.
inline constexpr size_t kMaxWaitingHops = 4096;

/// \brief Writes hops on the control thread, for the traffic threads.
///
/// All balancers derive the trace id from the flow, and a forwarded packet
/// carries the span of its last hop, so the lines of several balancers join to
/// one trace.
///
/// \code
/// failure why;
/// auto traces = trace_writer::Open(io, "rennes-1", "trace.jsonl", why);
/// traces->TryQueueHop(hop);  // On any thread.
/// \endcode
/// \warning Stop the traffic threads before the writer goes.
class trace_writer {
 public:
  /// \param io the control thread's.
  /// \param balancer name that each line carries.
  /// \returns null, and why, where the file cannot be opened.
  static std::unique_ptr<trace_writer> Open(asio::io_context& io,
                                            const std::string& balancer,
                                            const std::string& file,
                                            failure& why);
  ~trace_writer();

  /// \brief Queues a hop and returns at once. \returns false if it was dropped.
  bool TryQueueHop(const hop_span& hop);

  uint64_t written() const { return written_; }
  uint64_t dropped() const { return dropped_.load(std::memory_order_relaxed); }

 private:
  class tracer;
  trace_writer(asio::io_context& io, std::shared_ptr<tracer> opened);
  void Write(const hop_span& hop);

  asio::io_context& io_;
  std::shared_ptr<tracer> tracer_;
  uint64_t written_ = 0;            // Control thread only.
  std::atomic<size_t> waiting_{0};  // Hops posted and not yet written.
  std::atomic<uint64_t> dropped_{0};
};

}  // namespace radishyard
