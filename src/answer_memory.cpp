/// \file
/// See arrowstile/answer_memory.hpp.
#include <arrowstile/answer_memory.hpp>

namespace arrowstile {
namespace {

/// Most commands of a connection whose answers are not on their way. Reading resumes at half of them.
constexpr std::size_t kMaxPendingCommands = 512;
/// At this many unsent bytes reading resumes after a pause for kMaxUnsentBytes.
constexpr std::size_t kUnsentLowWaterBytes = 64 * 1024;
/// Memory of a command without its answer: its call, its slot and its tries.
constexpr std::size_t kCommandBytes = 1024;
/// Reading pauses when the claims of a connection reach what is free. Answers are held beyond that, up to
/// this multiple of it, as they may be larger than expected.
constexpr std::size_t kHeldPerFreeByte = 2;
/// Weight of the latest answer in the mean size.
constexpr double kAnswerSizeWeight = 1.0 / 32;
/// Five times the longest client timeout (4 s) of the known deployments.
constexpr Duration kFetchTimeout = std::chrono::seconds(20);

/// What a connection takes up now.
std::size_t heldBytesOf(const AnswerUsage &usage) {
    return usage.pendingCommands * kCommandBytes + usage.waitingBytes + usage.unsentBytes;
}

}  // namespace

void AnswerMemory::update(const AnswerUsage &before, const AnswerUsage &after) {
    heldBytes_ += heldBytesOf(after) - heldBytesOf(before);
    unansweredCommands_ += after.unansweredCommands - before.unansweredCommands;
}

void AnswerMemory::recordAnswerSize(std::size_t bytes) {
    meanAnswerBytes_ += (static_cast<double>(bytes) - meanAnswerBytes_) * kAnswerSizeWeight;
}

/// What is left when all commands have got answers of the mean size.
std::size_t AnswerMemory::freeBytes() const {
    const std::size_t claimed = claimedBytes({.unansweredCommands = unansweredCommands_}) + heldBytes_;
    return claimed < capacityBytes_ ? capacityBytes_ - claimed : 0;
}

/// What a connection takes up when its commands have got answers of the mean size.
std::size_t AnswerMemory::claimedBytes(const AnswerUsage &usage) const {
    const double expectedBytes = static_cast<double>(usage.unansweredCommands) * meanAnswerBytes_;
    return heldBytesOf(usage) + static_cast<std::size_t>(expectedBytes);
}

bool AnswerMemory::mayHold(const AnswerUsage &usage, std::size_t answerBytes) const {
    if (heldBytes_ + answerBytes > capacityBytes_) return false;
    const std::size_t freeAfterwards = capacityBytes_ - heldBytes_ - answerBytes;
    const std::size_t otherBytes = usage.waitingBytes + usage.unsentBytes;
    return otherBytes == 0 || otherBytes + answerBytes <= kHeldPerFreeByte * freeAfterwards;
}

bool AnswerMemory::mustPauseReading(const AnswerUsage &usage) const {
    if (usage.pendingCommands >= kMaxPendingCommands && !usage.isRefusing) return true;
    if (usage.unsentBytes >= kMaxUnsentBytes) return true;
    return usage.pendingCommands > 0 && claimedBytes(usage) >= freeBytes();
}

bool AnswerMemory::mayResumeReading(const AnswerUsage &usage) const {
    if (usage.pendingCommands > kMaxPendingCommands / 2 && !usage.isRefusing) return false;
    if (usage.unsentBytes > kUnsentLowWaterBytes) return false;
    return usage.pendingCommands == 0 || claimedBytes(usage) <= freeBytes() / 2;
}

bool isFetchTimedOut(Duration noProgress) { return noProgress >= kFetchTimeout; }

}  // namespace arrowstile
