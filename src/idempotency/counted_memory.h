// A memory resource that counts the heap bytes allocated through it.
#ifndef POSTSPREAD_IDEMPOTENCY_COUNTED_MEMORY_H_
#define POSTSPREAD_IDEMPOTENCY_COUNTED_MEMORY_H_

#include <cstddef>
#include <memory_resource>

namespace postspread::idempotency {

class CountedMemory final : public std::pmr::memory_resource {
 public:
  // Return the current and the maximum number of bytes in use, including the allocator's overhead of each
  // block.
  [[nodiscard]] std::size_t used() const { return used_; }
  [[nodiscard]] std::size_t peak() const { return peak_; }

 private:
  static constexpr std::size_t kBlockOverheadBytes = 16;  // the maximum per block with glibc

  void* do_allocate(std::size_t bytes, std::size_t alignment) override;
  void do_deallocate(void* block, std::size_t bytes, std::size_t alignment) override;
  [[nodiscard]] bool do_is_equal(const memory_resource& other) const noexcept override {
    return this == &other;
  }

  std::size_t used_ = 0, peak_ = 0;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_COUNTED_MEMORY_H_
