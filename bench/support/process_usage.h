// Resource usage of the process: bytes allocated on the heap, and processor
// time of the calling thread.
#pragma once
#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <ctime>

namespace radishyard {

/// \brief Bytes that are allocated now, in small and large (mapped) blocks,
/// including the overhead of the allocator.
inline size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// \brief Processor time of the calling thread, in seconds. Other load on the
/// machine affects it less than it affects elapsed time.
inline double ThreadCpuSeconds() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) +
         static_cast<double>(spent.tv_nsec) * 1e-9;
}

/// \brief Processor time of one call of `work` in seconds: the minimum of
/// `rounds` calls.
template <typename F>
double MinCpuSeconds(int rounds, const F& work) {
  double minimum = 1e9;
  for (int i = 0; i < rounds; ++i) {
    const double before = ThreadCpuSeconds();
    work();
    const double spent = ThreadCpuSeconds() - before;
    if (spent < minimum) minimum = spent;
  }
  return minimum;
}

}  // namespace radishyard
