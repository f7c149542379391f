#include "runtime/process_resources.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <string>

namespace foxtail {
namespace {

// Larger blocks are mapped one by one, so freeing one returns its pages. The
// allocator would otherwise raise this threshold with each block that is freed.
constexpr int kMapThreshold = 128 * 1024;  // bytes

// Free memory at the end of the heap beyond which it is returned.
constexpr int kTrimThreshold = 1024 * 1024;  // bytes

// One arena for the traffic thread and one for all others: each keeps free
// memory of its own.
constexpr int kArenas = 2;

}  // namespace

void ConfigureAllocator() {
  mallopt(M_MMAP_THRESHOLD, kMapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
  mallopt(M_ARENA_MAX, kArenas);
}

void ReturnFreeMemory() {
  malloc_trim(0);
}

uint64_t ReadResidentMemory() {
  std::ifstream file("/proc/self/statm");
  uint64_t total = 0;
  uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

uint64_t ReadMachineMemory() {
  std::ifstream file("/proc/meminfo");
  std::string name;
  uint64_t kibibytes = 0;
  file >> name >> kibibytes;
  return name == "MemTotal:" && kibibytes > 0 ? kibibytes * 1024 : UINT64_MAX;
}

uint64_t ReadDescriptorLimit() {
  rlimit limit = {};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
                 limit.rlim_cur != RLIM_INFINITY
             ? limit.rlim_cur
             : UINT64_MAX;
}

}  // namespace foxtail
