/// \file
/// The API calls whose clients await a final answer, the order of answers on a client's connection, and the
/// encoding of final answers.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "api_call.hpp"

namespace arrowstile {

/// Position of an answer among all answers of one connection, counted from 0.
using AnswerSlot = Id<struct AnswerSlotTag, std::uint64_t>;

/// Puts the answers of one connection into the order of its commands, whatever the order in which they become
/// ready.
class AnswerQueue {
public:
    /// Reserves the slot for the answer to the next command.
    AnswerSlot reserveSlot();
    /// Sets the encoded answer of a slot. Returns false without effect if the slot has one already or was
    /// never reserved, so that each command is answered once.
    bool fillSlot(AnswerSlot slot, std::string text);
    /// Adds an answer that is ready when its command is read. Takes a slot only if the last one has no answer
    /// yet, or is full: many short answers take up little memory.
    void appendReady(std::string_view text);
    /// Appends to `out` the answers up to the first slot without one, and removes them from the queue. Stops
    /// when `out` holds `maxBytes` or more.
    void popReady(std::string &out, std::size_t maxBytes);
    /// Whether popReady() has something to append.
    bool hasReady() const { return !answers_.empty() && answers_.front(); }
    /// Number of reserved slots whose answers have not been removed by popReady().
    std::size_t pendingCount() const { return answers_.size(); }
    /// Those of them without an answer.
    std::size_t unansweredCount() const { return unansweredCount_; }
    /// Total size of the answers in the queue.
    std::size_t answerBytes() const { return answerBytes_; }

private:
    std::deque<std::optional<std::string>> answers_;
    std::uint64_t firstSlot_ = 0;  ///< slot of answers_.front()
    std::size_t unansweredCount_ = 0;
    std::size_t answerBytes_ = 0;
};

/// An API call that awaits its final answer.
struct PendingCall {
    ApiCall call;
    ClientId client;
    AnswerSlot slot;        ///< where its answer goes in the client's AnswerQueue
    unsigned tryCount = 0;  ///< upstream tries so far
};

/// The API calls that await a final answer. A call is removed when the answer is given or when its client
/// has gone, so that no call is answered twice and nothing is sent for it afterwards.
class PendingCallTable {
public:
    /// Adds a call and returns its new id, which it also stores in the call's event. Doesn't check the
    /// request id: see hasRequestId().
    CallId add(ApiCall call, ClientId client, AnswerSlot slot);
    /// Returns nullptr if the call isn't pending. The pointer is valid until the call is removed.
    PendingCall *find(CallId id);
    /// Whether a call with this request id, of any client, is pending.
    bool hasRequestId(const std::string &requestId) const { return requestIds_.contains(requestId); }
    /// Removes a call and returns it; nullopt if it isn't pending.
    std::optional<PendingCall> remove(CallId id);
    /// Removes all calls of a client that has disconnected; they end without an answer. Returns their ids in
    /// order of arrival.
    std::vector<CallId> removeAllOf(ClientId client);
    /// The pending calls of a client in order of arrival.
    std::vector<CallId> callsOf(ClientId client) const;
    std::size_t size() const { return calls_.size(); }
    /// Total size of the calls' texts, which are kept for further tries.
    std::size_t textBytes() const { return textBytes_; }

private:
    std::map<CallId, PendingCall> calls_;
    std::map<ClientId, std::set<CallId>> callsByClient_;
    std::set<std::string> requestIds_;
    std::uint64_t lastId_ = 0;
    std::size_t textBytes_ = 0;
};

/// Encodes the final answer "proxied": `value` is the value from the worker's reply.
std::string encodeProxiedAnswer(std::string_view value);
/// Encodes the final answer "rate-limited". `retryAfter` is sent in milliseconds, rounded up, and left out if
/// it isn't positive.
std::string encodeRateLimitedAnswer(std::optional<Duration> retryAfter);
/// Encodes the final answer "errored".
std::string encodeErroredAnswer();

}  // namespace arrowstile
