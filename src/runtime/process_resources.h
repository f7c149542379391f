#pragma once

#include <cstdint>

namespace foxtail {

/// Makes the allocator return freed blocks to the system, so that the resident
/// memory follows what is held. Must be called before other threads start.
void ConfigureAllocator();

/// Returns free memory of the allocator to the system.
void ReturnFreeMemory();

/// Returns the resident memory of this process in bytes; 0 if it is unknown.
uint64_t ReadResidentMemory();

/// Returns the memory of the machine in bytes, or the greatest number if it is
/// unknown.
uint64_t ReadMachineMemory();

/// Returns the limit on the descriptors of this process.
uint64_t ReadDescriptorLimit();

}  // namespace foxtail
