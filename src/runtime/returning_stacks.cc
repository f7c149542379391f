#include "runtime/returning_stacks.h"

#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>

namespace foxtail {
namespace {

// Free stacks that keep their memory, about 12 KiB each, so that fibers that
// come and go cause no system call.
constexpr size_t kMaxKept = 128;

// The pool stores its list in the first bytes of a free stack, and stacks share
// pages at their ends, so only the whole pages between are returned.
void ReturnPages(const boost::context::stack_context& stack) {
  static const auto page = static_cast<uintptr_t>(sysconf(_SC_PAGESIZE));
  const auto end = reinterpret_cast<uintptr_t>(stack.sp) / page * page;
  const uintptr_t base = reinterpret_cast<uintptr_t>(stack.sp) - stack.size;
  const uintptr_t begin = (base + sizeof(void*) + page - 1) / page * page;
  if (begin < end) {
    madvise(reinterpret_cast<void*>(begin), end - begin, MADV_DONTNEED);
  }
}

}  // namespace

boost::context::stack_context ReturningStacks::allocate() {
  *m_kept -= std::min<size_t>(*m_kept, 1);
  return m_pool.allocate();
}

void ReturningStacks::deallocate(
    boost::context::stack_context& stack) noexcept {
  if (*m_kept < kMaxKept) {
    ++*m_kept;
  } else {
    ReturnPages(stack);
  }
  m_pool.deallocate(stack);
}

}  // namespace foxtail
