// Writes the hops of sampled flows to a trace file, one JSON object per line,
// through the OpenTracing interface.
#pragma once
#include <atomic>
#include <memory>
#include <string>

#include "base/asio.h"
#include "base/failure.h"
#include "traffic/traffic_sink.h"

namespace radishyard {

/// \brief Maximum number of hops that wait to be written. Hops beyond it are
/// dropped and counted.
inline constexpr size_t kMaxQueuedHops = 4096;

/// \brief Accepts hops from the traffic threads and writes them on the control
/// thread.
///
/// All balancers derive the trace id from the flow, and a forwarded packet
/// carries the span id of its last hop. The lines that several balancers write
/// for one flow therefore form a single trace.
///
/// \code
/// failure why;
/// auto traces = trace_writer::Open(io, "rennes-1", "trace.jsonl", why);
/// traces->TryQueueHop(hop);  // May be called on any thread.
/// \endcode
/// \warning The traffic threads must be stopped before the writer is destroyed.
class trace_writer {
 public:
  /// \param io executor of the control thread.
  /// \param balancer name of this balancer, which each line carries.
  /// \param file path of the trace file, which is appended to.
  /// \returns null if the file cannot be opened, with the reason in `why`.
  static std::unique_ptr<trace_writer> Open(asio::io_context& io,
                                            const std::string& balancer,
                                            const std::string& file,
                                            failure& why);
  ~trace_writer();

  /// \brief Queues a hop without blocking.
  /// \returns false if the queue is full and the hop was dropped.
  bool TryQueueHop(const hop_span& hop);

  /// \brief Number of hops written. For the control thread only.
  uint64_t written() const { return written_; }
  /// \brief Number of hops dropped because the queue was full.
  uint64_t dropped() const { return dropped_.load(std::memory_order_relaxed); }

 private:
  class tracer;
  trace_writer(asio::io_context& io, std::shared_ptr<tracer> opened_tracer);
  void Write(const hop_span& hop);

  asio::io_context& io_;
  std::shared_ptr<tracer> tracer_;
  uint64_t written_ = 0;           // Used by the control thread only.
  std::atomic<size_t> queued_{0};  // Hops posted to io_ and not yet written.
  std::atomic<uint64_t> dropped_{0};
};

}  // namespace radishyard
