// What a measurement reads from the process itself: bytes on the heap and
// processor time of the calling thread.
#pragma once
#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <ctime>

namespace radishyard {

/// \brief Bytes that are allocated now, small and large blocks together, with
/// the allocator's own overhead.
inline size_t HeldBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// \brief Processor time of the calling thread, in seconds. Other load on the
/// machine changes it less than it changes the time that passes.
inline double ThreadSeconds() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) +
         static_cast<double>(spent.tv_nsec) * 1e-9;
}

/// \brief Processor seconds of one call of `work`: the least of `rounds`.
template <typename F>
double SecondsOf(int rounds, const F& work) {
  double least = 1e9;
  for (int i = 0; i < rounds; ++i) {
    const double before = ThreadSeconds();
    work();
    const double spent = ThreadSeconds() - before;
    if (spent < least) least = spent;
  }
  return least;
}

}  // namespace radishyard
