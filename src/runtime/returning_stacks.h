#pragma once

#include <boost/context/stack_context.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <cstddef>
#include <memory>

namespace foxtail {

/// Stack allocator of fibers that keeps the stacks of ended fibers for later
/// ones, and returns the memory of most of them to the system. The pool alone
/// would hold the memory of the greatest number of fibers that ever ran.
class ReturningStacks {
 public:
  explicit ReturningStacks(size_t size) : m_pool(size) {}

  // Boost.Fiber requires the names `allocate` and `deallocate`.
  boost::context::stack_context allocate();                        // NOLINT
  void deallocate(boost::context::stack_context& stack) noexcept;  // NOLINT

 private:
  boost::fibers::pooled_fixedsize_stack m_pool;

  /// Number of free stacks with memory, shared by the copies that fibers hold.
  std::shared_ptr<size_t> m_kept = std::make_shared<size_t>(0);
};

}  // namespace foxtail
