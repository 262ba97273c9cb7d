/** Processor time and heap use of the benchmark process. */
#pragma once

#include <malloc.h>

#include <ctime>

namespace QuetzalRock {

/** Processor seconds used by this process so far, all threads together. */
inline double cpuSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

/** Bytes in use on the heap. */
inline double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

} // namespace QuetzalRock
