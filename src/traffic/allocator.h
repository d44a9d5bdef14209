// The allocator's settings of a process whose memory is bounded.
#pragma once

namespace comfrey {

/// Large bodies are mapped each by itself, so that their memory goes back when they are freed. To
/// be called before other threads start.
void keepAllocatorSmall();

} // namespace comfrey
