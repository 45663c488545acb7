#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "api_call.hpp"

namespace arrowstile {

using ClientId = Id<struct ClientTag, std::uint64_t>;
using AnswerSlot = Id<struct AnswerSlotTag, std::uint64_t>;

/// The answers of one connection leave in the order of its commands, whenever they are ready.
class AnswerQueue {
public:
    AnswerSlot reserveSlot();
    /// False if that slot was answered before: an answer is given once.
    bool fillSlot(AnswerSlot slot, std::string text);
    /// Moves what may leave now to the end of `out`.
    void popReady(std::string &out);
    std::size_t pendingCount() const { return answers_.size(); }

private:
    std::deque<std::optional<std::string>> answers_;
    std::uint64_t first_ = 0;
};

struct PendingCall {
    ApiCall call;
    ClientId client;
    AnswerSlot slot;
    unsigned tryCount = 0;
};

/// The API calls that are owed a final answer. An entry goes when that is given or nobody waits any more, so
/// that no answer is given twice and nothing is sent after it.
class PendingCallTable {
public:
    CallId add(ApiCall call, ClientId client, AnswerSlot slot);
    PendingCall *find(CallId id);
    /// Whether a call with this id of its client is open.
    bool hasRequestId(const std::string &requestId) const { return requestIds_.contains(requestId); }
    std::optional<PendingCall> remove(CallId id);
    /// The client has gone: its calls end without an answer.
    std::vector<CallId> removeAllOf(ClientId client);
    /// The calls that this client is still owed an answer to, in the order in which they came.
    std::vector<CallId> callsOf(ClientId client) const;
    std::size_t size() const { return calls_.size(); }
    /// Of the bodies that are kept for a further try.
    std::size_t bodyBytes() const { return bytes_; }

private:
    std::map<CallId, PendingCall> calls_;
    std::map<ClientId, std::set<CallId>> byClient_;
    std::set<std::string> requestIds_;
    std::uint64_t last_ = 0;
    std::size_t bytes_ = 0;
};

/// Final answers that this gatekeeper words itself.
std::string encodeProxiedAnswer(std::string_view value);
std::string encodeRateLimitedAnswer(std::optional<Duration> retryAfter);
std::string encodeErroredAnswer();

}  // namespace arrowstile
