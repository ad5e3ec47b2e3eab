// Implements time_histogram. Only this file includes Boost.Histogram.
#include "observe/time_histogram.h"

#include <boost/histogram.hpp>

namespace radishyard {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBins = 16;
constexpr double kMinSeconds = 0.001;
constexpr double kMaxSeconds = 65.536;

using logarithmic_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeBins() {
  return bh::make_histogram_with(
      std::vector<uint64_t>(),
      logarithmic_axis(kBins, kMinSeconds, kMaxSeconds));
}

}  // namespace

struct time_histogram::bins {
  decltype(MakeBins()) counts = MakeBins();
  double sum_s = 0;
};

time_histogram::time_histogram() : bins_(std::make_unique<bins>()) {}

time_histogram::time_histogram(const time_histogram& other)
    : bins_(std::make_unique<bins>(*other.bins_)) {}

time_histogram& time_histogram::operator=(const time_histogram& other) {
  if (this != &other) *bins_ = *other.bins_;
  return *this;
}

time_histogram::~time_histogram() = default;

void time_histogram::Add(duration time) {
  const double time_s = std::chrono::duration<double>(time).count();
  bins_->counts(time_s);
  bins_->sum_s += time_s;
}

time_histogram& time_histogram::operator+=(const time_histogram& other) {
  bins_->counts += other.bins_->counts;
  bins_->sum_s += other.bins_->sum_s;
  return *this;
}

std::vector<histogram_bucket> time_histogram::Buckets() const {
  const auto& axis = bins_->counts.axis();
  std::vector<histogram_bucket> buckets;
  uint64_t cumulative = bins_->counts.at(-1);  // The underflow bin.
  buckets.push_back({axis.value(0), cumulative});
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += bins_->counts.at(i);
    buckets.push_back({axis.value(i + 1), cumulative});
  }
  return buckets;
}

uint64_t time_histogram::Count() const {
  uint64_t count = 0;
  for (const auto& bin : bh::indexed(bins_->counts, bh::coverage::all))
    count += *bin;
  return count;
}

double time_histogram::SumSeconds() const { return bins_->sum_s; }

}  // namespace radishyard
