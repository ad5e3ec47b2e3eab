// A tracer behind the OpenTracing interface, kept to this file. Contexts travel
// between balancers in the packet's forward option, so the tracer needs no
// carriers.
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

constexpr size_t kMostBufferedBytes = 64 << 10;
constexpr const char* kSpanTag = "radishyard.span";  // The span's own id.

std::string IdText(uint64_t id) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(id));
  return text.data();
}

std::string TimeText(system_time at) {
  const auto since = at.time_since_epoch();
  const std::time_t whole = std::chrono::system_clock::to_time_t(at);
  const auto micros =
      std::chrono::duration_cast<microseconds>(since).count() % 1'000'000;
  std::tm utc{};
  gmtime_r(&whole, &utc);
  std::array<char, 32> day{};
  std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%s.%06lldZ", day.data(),
                static_cast<long long>(micros));
  return text.data();
}

system_time ToSystemTime(time_point at) {
  const auto age = std::chrono::steady_clock::now() - at;
  return std::chrono::time_point_cast<system_time::duration>(
      std::chrono::system_clock::now() - age);
}

// The ids that join spans.
class span_context : public ot::SpanContext {
 public:
  span_context(uint64_t trace, uint64_t span) : trace_(trace), span_(span) {}
  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)>)
      const override {}
  std::unique_ptr<ot::SpanContext> Clone() const noexcept override {
    return std::make_unique<span_context>(trace_, span_);
  }
  std::string ToTraceID() const noexcept override { return IdText(trace_); }
  std::string ToSpanID() const noexcept override { return IdText(span_); }
  uint64_t trace() const { return trace_; }
  uint64_t span() const { return span_; }

 private:
  uint64_t trace_;
  uint64_t span_;
};

using log_pair = std::pair<ot::string_view, ot::Value>;
using log_fields = std::initializer_list<log_pair>;

// A span that is one line of the file once it is finished.
class line_span : public ot::Span {
 public:
  line_span(std::shared_ptr<const ot::Tracer> tracer, std::string& lines,
            const span_context& context, json line)
      : tracer_(std::move(tracer)),
        lines_(lines),
        context_(context),
        line_(std::move(line)) {}

  void FinishWithOptions(const ot::FinishSpanOptions&) noexcept override {
    if (!is_finished_) lines_ += line_.dump() + "\n";
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
  std::string& lines_;
  span_context context_;
  json line_;
  bool is_finished_ = false;
};

uint64_t SpanIdOf(const ot::StartSpanOptions& options) {
  for (const auto& [key, value] : options.tags)
    if (key == kSpanTag && value.is<uint64_t>()) return value.get<uint64_t>();
  return 0;
}

}  // namespace

class trace_writer::tracer : public ot::Tracer,
                             public std::enable_shared_from_this<tracer> {
 public:
  tracer(std::string balancer, const std::string& file)
      : balancer_(std::move(balancer)), out_(file, std::ios::app) {}

  bool IsOpen() const { return out_.is_open(); }
  size_t BufferedBytes() const { return lines_.size(); }
  // Whole lines in one write, so that a reader or another writer of the same
  // file finds no partial ones.
  void Flush() {
    out_.write(lines_.data(), static_cast<std::streamsize>(lines_.size()));
    out_.flush();
    lines_.clear();
  }

  std::unique_ptr<ot::Span> StartSpanWithOptions(
      ot::string_view name,
      const ot::StartSpanOptions& options) const noexcept override {
    const uint64_t id = SpanIdOf(options);
    uint64_t trace = id;
    json line{{"time", TimeText(options.start_system_timestamp)},
              {"balancer", balancer_},
              {"name", std::string(name)},
              {"span", IdText(id)}};
    for (const auto& [kind, context] : options.references) {
      const auto& parent = static_cast<const span_context&>(*context);
      trace = parent.trace();
      if (parent.span() != 0) line["parent"] = parent.ToSpanID();
    }
    line["trace"] = IdText(trace);
    return std::make_unique<line_span>(
        shared_from_this(), lines_, span_context(trace, id), std::move(line));
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
  mutable std::string lines_;  // Of finished spans, not yet written.
};

std::unique_ptr<trace_writer> trace_writer::Open(asio::io_context& io,
                                                 const std::string& balancer,
                                                 const std::string& file,
                                                 failure& why) {
  auto opened = std::make_shared<tracer>(balancer, file);
  if (!opened->IsOpen()) {
    why = {failure_kind::kInvalid, file + " cannot be written"};
    return nullptr;
  }
  return std::unique_ptr<trace_writer>(new trace_writer(io, std::move(opened)));
}

trace_writer::trace_writer(asio::io_context& io, std::shared_ptr<tracer> opened)
    : io_(io), tracer_(std::move(opened)) {}

trace_writer::~trace_writer() = default;

bool trace_writer::TryQueueHop(const hop_span& hop) {
  if (waiting_.fetch_add(1, std::memory_order_relaxed) >= kMaxWaitingHops) {
    waiting_.fetch_sub(1, std::memory_order_relaxed);
    dropped_.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  asio::post(io_, [this, hop] {
    Write(hop);
    const size_t waiting = waiting_.fetch_sub(1, std::memory_order_relaxed);
    if (waiting == 1 || tracer_->BufferedBytes() > kMostBufferedBytes)
      tracer_->Flush();
  });
  return true;
}

void trace_writer::Write(const hop_span& hop) {
  const span_context parent(hop.trace, hop.parent);
  const auto span = tracer_->StartSpan(
      hop.name, {ot::ChildOf(&parent), ot::StartTimestamp(ToSystemTime(hop.at)),
                 ot::SetTag{kSpanTag, hop.span}});
  span->SetTag("outcome", hop.outcome);
  span->SetTag("protocol", hop.key.proto == protocol::kTcp ? "tcp" : "udp");
  span->SetTag("caller", ToString(hop.key.caller));
  span->SetTag("service", ToString(hop.key.service));
  span->Finish();
  ++written_;
}

}  // namespace radishyard
