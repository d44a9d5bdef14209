// Settings of the C library's allocator.
#include "traffic/allocator.h"

#include <malloc.h>

namespace comfrey {

namespace {

constexpr int kMappedBytes = 128 * 1024;   // from this size on; fixed, else it grows with use
constexpr int kTrimmedBytes = 1024 * 1024; // free memory at the heap's end that is kept

} // namespace

void keepAllocatorSmall()
{
    // Where the allocator has no such settings, its own behaviour stays.
    ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
    ::mallopt(M_TRIM_THRESHOLD, kTrimmedBytes);
}

} // namespace comfrey
