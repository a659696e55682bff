/// \file
/// Counts the heap use of the program by replacing the global operators new and delete. Not thread-safe.
#pragma once

#include <cstdint>

namespace limpetlock::config {

struct heap_use {
    /// Bytes allocated since the start, freed or not.
    std::int64_t allocated{};
    /// Bytes in use now.
    std::int64_t live{};
};

/// Returns the heap use of the whole program.
heap_use current_heap_use();

} // namespace limpetlock::config
