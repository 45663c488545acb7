/// \file
/// Tests of the decision how much memory the answers to each client connection may take up.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <arrowstile/answer_memory.hpp>
#include <vector>

using namespace arrowstile;

namespace {

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kCapacityBytes = 8192 * kKiB;  // a quarter of the smallest machine's 32 MiB
constexpr std::size_t kLongestAnswerBytes = 64 * kKiB;

}  // namespace

// Guards against one client's answers taking the memory from others, and against a close where a pause will
// do.
TEST_CASE("issue 37: when reading pauses, when it resumes, and which answers are held") {
    struct Row {
        const char *name;
        AnswerUsage usage;                ///< of the connection that is asked about
        std::vector<AnswerUsage> others;  ///< of the other connections
        std::size_t meanAnswerBytes;
        bool mustPause, mayResume, mayHoldLongest;
    };
    const AnswerUsage half{.pendingCommands = 64, .waitingBytes = kCapacityBytes / 2};
    const AnswerUsage third{.pendingCommands = 64, .waitingBytes = kCapacityBytes / 3};
    const Row rows[] = {
        {"nothing pending", {}, {}, 0, false, true, true},
        {"511 short commands", {511, 511, 0, 0}, {}, 100, false, false, true},
        {"512 short commands", {512, 512, 0, 0}, {}, 100, true, false, true},
        {"256 short commands", {256, 256, 0, 0}, {}, 100, false, true, true},
        {"unsent: 256 KiB", {0, 0, 0, 256 * kKiB}, {}, 0, true, false, true},
        {"unsent: 100 KiB", {0, 0, 0, 100 * kKiB}, {}, 0, false, false, true},
        {"unsent: 64 KiB", {0, 0, 0, 64 * kKiB}, {}, 0, false, true, true},
        {"half of the memory waits", half, {}, 0, true, false, true},
        {"all of the memory waits", {128, 1, kCapacityBytes, 0}, {}, 0, true, false, false},
        {"expected answers fill half of the memory",
         {64, 64, 0, 0},
         {},
         kLongestAnswerBytes,
         true,
         false,
         true},
        {"expected answers fill a quarter", {32, 32, 0, 0}, {}, kLongestAnswerBytes, false, true, true},
        {"another holds half; this one little", {1, 0, 1000, 0}, {half}, 0, false, true, true},
        {"two others hold a third each; this one little",
         {1, 0, 1000, 0},
         {third, third},
         0,
         false,
         true,
         true},
        {"two others hold a third each; this one as well", third, {third, third}, 0, true, false, false},
        {"the others hold all, no command pending", {}, {half, half}, 0, false, true, false},
        {"the others hold all, a command pending", {1, 1, 0, 0}, {half, half}, 0, true, false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        AnswerMemory memory(kCapacityBytes);
        for (int remaining = 1000; remaining > 0; --remaining) memory.recordAnswerSize(row.meanAnswerBytes);
        for (const AnswerUsage &other : row.others) memory.update({}, other);
        memory.update({}, row.usage);
        CHECK(memory.mustPauseReading(row.usage) == row.mustPause);
        CHECK(memory.mayResumeReading(row.usage) == row.mayResume);
        CHECK(memory.mayHold(row.usage, kLongestAnswerBytes) == row.mayHoldLongest);
    }
}

// Guards against answers beyond the memory that is stated for them, whatever the sizes and whoever holds
// them.
TEST_CASE("issue 37: held answers never exceed the capacity, and what is released is free again") {
    AnswerMemory memory(kCapacityBytes);
    std::vector<AnswerUsage> usages(40);
    for (std::size_t step = 0; step < 20000; ++step) {
        AnswerUsage &usage = usages[step * step % usages.size()];
        const AnswerUsage before = usage;
        const std::size_t answerBytes = step * 7919 % kLongestAnswerBytes;
        if (step % 1000 == 999)
            usage = {};
        else if (memory.mayHold(usage, answerBytes))
            usage.waitingBytes += answerBytes;
        memory.update(before, usage);
        REQUIRE(memory.heldBytes() <= kCapacityBytes);
    }
    for (AnswerUsage &usage : usages) memory.update(usage, {});
    CHECK(memory.heldBytes() == 0);
}

TEST_CASE("issue 37: a client that takes nothing may be closed after five times the longest client timeout") {
    constexpr Duration longestClientTimeout = std::chrono::seconds(4);
    CHECK(!isFetchTimedOut(Duration{}));
    CHECK(!isFetchTimedOut(4 * longestClientTimeout));
    CHECK(isFetchTimedOut(5 * longestClientTimeout));
}
