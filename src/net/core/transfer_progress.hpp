/// \file
/// Tells whether a transfer still makes progress. Without I/O.
#pragma once

#include <arrowstile/ids.hpp>
#include <cstdint>
#include <utility>

namespace arrowstile {

/// Tells for how long a transfer has made no progress.
class TransferProgress {
public:
    /// To be called periodically, with the bytes that are left now and those that are done in all.
    Duration timeWithoutProgress(Timestamp now, std::uint64_t leftBytes, std::uint64_t doneBytes) {
        if (leftBytes == 0 || std::exchange(lastDoneBytes_, doneBytes) != doneBytes) lastProgressAt_ = now;
        return now - lastProgressAt_;
    }

private:
    Timestamp lastProgressAt_{};  ///< when something was last done, or nothing was left
    std::uint64_t lastDoneBytes_ = 0;
};

}  // namespace arrowstile
