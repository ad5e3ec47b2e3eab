// Implements trace_writer with an OpenTracing tracer that is private to this
// file. Balancers pass span contexts to each other in the forward option of a
// packet, so the tracer does not support carriers: Inject() and Extract() fail.
#include "observe/trace.h"

#include <opentracing/tracer.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>

namespace radishyard {
namespace {

namespace ot = opentracing;
using json = nlohmann::json;
using system_time = std::chrono::system_clock::time_point;

constexpr size_t kMaxBufferedBytes = 64 << 10;
// The tag that passes the id of a new span to the tracer.
constexpr const char* kSpanIdTag = "radishyard.span";

std::string ToHexId(uint64_t id) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(id));
  return text.data();
}

std::string ToUtcText(system_time at) {
  const auto since_epoch = at.time_since_epoch();
  const std::time_t seconds_utc = std::chrono::system_clock::to_time_t(at);
  const auto micros =
      std::chrono::duration_cast<microseconds>(since_epoch).count() % 1'000'000;
  std::tm utc{};
  gmtime_r(&seconds_utc, &utc);
  std::array<char, 32> date_time{};
  std::strftime(date_time.data(), date_time.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%s.%06lldZ", date_time.data(),
                static_cast<long long>(micros));
  return text.data();
}

system_time ToSystemTime(time_point at) {
  const auto age = std::chrono::steady_clock::now() - at;
  return std::chrono::time_point_cast<system_time::duration>(
      std::chrono::system_clock::now() - age);
}

// The ids that link the spans of a trace.
class span_context : public ot::SpanContext {
 public:
  span_context(uint64_t trace, uint64_t span) : trace_(trace), span_(span) {}
  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)>)
      const override {}
  std::unique_ptr<ot::SpanContext> Clone() const noexcept override {
    return std::make_unique<span_context>(trace_, span_);
  }
  std::string ToTraceID() const noexcept override { return ToHexId(trace_); }
  std::string ToSpanID() const noexcept override { return ToHexId(span_); }
  uint64_t trace() const { return trace_; }
  uint64_t span() const { return span_; }

 private:
  uint64_t trace_;
  uint64_t span_;
};

using log_pair = std::pair<ot::string_view, ot::Value>;
using log_fields = std::initializer_list<log_pair>;

// A span that becomes one line of the trace file when it is finished.
class line_span : public ot::Span {
 public:
  line_span(std::shared_ptr<const ot::Tracer> tracer, std::string& lines,
            const span_context& context, json line)
      : tracer_(std::move(tracer)),
        pending_lines_(lines),
        context_(context),
        line_(std::move(line)) {}

  void FinishWithOptions(const ot::FinishSpanOptions&) noexcept override {
    if (!is_finished_) pending_lines_ += line_.dump() + "\n";
    is_finished_ = true;
  }
  void SetOperationName(ot::string_view name) noexcept override {
    line_["name"] = std::string(name);
  }
  void SetTag(ot::string_view key, const ot::Value& value) noexcept override {
    if (value.is<std::string>())
      line_[std::string(key)] = value.get<std::string>();
    if (value.is<const char*>())
      line_[std::string(key)] = value.get<const char*>();
  }
  void SetBaggageItem(ot::string_view, ot::string_view) noexcept override {}
  std::string BaggageItem(ot::string_view) const noexcept override {
    return {};
  }
  void Log(log_fields) noexcept override {}
  void Log(ot::SystemTime, log_fields) noexcept override {}
  void Log(ot::SystemTime, const std::vector<log_pair>&) noexcept override {}
  const ot::SpanContext& context() const noexcept override { return context_; }
  const ot::Tracer& tracer() const noexcept override { return *tracer_; }

 private:
  std::shared_ptr<const ot::Tracer> tracer_;
  std::string& pending_lines_;
  span_context context_;
  json line_;
  bool is_finished_ = false;
};

uint64_t FindSpanId(const ot::StartSpanOptions& options) {
  for (const auto& [key, value] : options.tags)
    if (key == kSpanIdTag && value.is<uint64_t>()) return value.get<uint64_t>();
  return 0;
}

}  // namespace

class trace_writer::tracer : public ot::Tracer,
                             public std::enable_shared_from_this<tracer> {
 public:
  tracer(std::string balancer, const std::string& file)
      : balancer_(std::move(balancer)), out_(file, std::ios::app) {}

  bool IsOpen() const { return out_.is_open(); }
  size_t BufferedBytes() const { return pending_lines_.size(); }
  // Writes whole lines in a single call, so that neither a reader of the file
  // nor another process that appends to it meets a partial line.
  void Flush() {
    out_.write(pending_lines_.data(),
               static_cast<std::streamsize>(pending_lines_.size()));
    out_.flush();
    pending_lines_.clear();
  }

  std::unique_ptr<ot::Span> StartSpanWithOptions(
      ot::string_view name,
      const ot::StartSpanOptions& options) const noexcept override {
    const uint64_t id = FindSpanId(options);
    uint64_t trace = id;
    json line{{"time", ToUtcText(options.start_system_timestamp)},
              {"balancer", balancer_},
              {"name", std::string(name)},
              {"span", ToHexId(id)}};
    for (const auto& [kind, context] : options.references) {
      const auto& parent = static_cast<const span_context&>(*context);
      trace = parent.trace();
      if (parent.span() != 0) line["parent"] = parent.ToSpanID();
    }
    line["trace"] = ToHexId(trace);
    return std::make_unique<line_span>(shared_from_this(), pending_lines_,
                                       span_context(trace, id),
                                       std::move(line));
  }

  ot::expected<void> Inject(const ot::SpanContext&,
                            std::ostream&) const override {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }
  ot::expected<void> Inject(const ot::SpanContext&,
                            const ot::TextMapWriter&) const override {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }
  ot::expected<void> Inject(const ot::SpanContext&,
                            const ot::HTTPHeadersWriter&) const override {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }
  ot::expected<std::unique_ptr<ot::SpanContext>> Extract(
      std::istream&) const override {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }
  ot::expected<std::unique_ptr<ot::SpanContext>> Extract(
      const ot::TextMapReader&) const override {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }
  ot::expected<std::unique_ptr<ot::SpanContext>> Extract(
      const ot::HTTPHeadersReader&) const override {
    return ot::make_unexpected(ot::invalid_carrier_error);
  }

 private:
  std::string balancer_;
  std::ofstream out_;
  // Lines of finished spans that are not yet written. Mutable because
  // StartSpanWithOptions(), which is const, passes a reference to each span.
  mutable std::string pending_lines_;
};

std::unique_ptr<trace_writer> trace_writer::Open(asio::io_context& io,
                                                 const std::string& balancer,
                                                 const std::string& file,
                                                 failure& why) {
  auto opened_tracer = std::make_shared<tracer>(balancer, file);
  if (!opened_tracer->IsOpen()) {
    why = {failure_kind::kInvalid, file + " cannot be written"};
    return nullptr;
  }
  return std::unique_ptr<trace_writer>(
      new trace_writer(io, std::move(opened_tracer)));
}

trace_writer::trace_writer(asio::io_context& io,
                           std::shared_ptr<tracer> opened_tracer)
    : io_(io), tracer_(std::move(opened_tracer)) {}

trace_writer::~trace_writer() = default;

bool trace_writer::TryQueueHop(const hop_span& hop) {
  if (queued_.fetch_add(1, std::memory_order_relaxed) >= kMaxQueuedHops) {
    queued_.fetch_sub(1, std::memory_order_relaxed);
    dropped_.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  asio::post(io_, [this, hop] {
    Write(hop);
    const size_t queued = queued_.fetch_sub(1, std::memory_order_relaxed);
    if (queued == 1 || tracer_->BufferedBytes() > kMaxBufferedBytes)
      tracer_->Flush();
  });
  return true;
}

void trace_writer::Write(const hop_span& hop) {
  const span_context parent(hop.trace, hop.parent);
  const auto span = tracer_->StartSpan(
      hop.name, {ot::ChildOf(&parent), ot::StartTimestamp(ToSystemTime(hop.at)),
                 ot::SetTag{kSpanIdTag, hop.span}});
  span->SetTag("outcome", hop.outcome);
  span->SetTag("protocol", hop.key.proto == protocol::kTcp ? "tcp" : "udp");
  span->SetTag("caller", ToString(hop.key.caller));
  span->SetTag("service", ToString(hop.key.service));
  span->Finish();
  ++written_;
}

}  // namespace radishyard
