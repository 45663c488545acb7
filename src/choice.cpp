// Every decision of a gatekeeper. Hand each event to Gatekeeper::handle with the time, in the order in which
// things happened, and carry out the actions that come back in theirs. The interface is declared in
// include/arrowstile/gatekeeper.hpp; docs/design.md tells what is kept of the design's source and what
// departs.
//
// The design: admits() decides at once from a cached two-window estimate; report() tells the counter of every
// pass in the background, and the late reply refreshes the cache. Six mechanisms stand beside it:
//   1 ranked fill: pick(), rerank(), learnLimit()    4 line of further tries: serveLine()
//   2 health from silence and failures: phi()      5 guards: underCeiling(), underCap(), decideHeld()
//   3 warm-up limits: coldLimit()                    6 trust in the counter: trusted(), mayCall(), refresh()
#include <algorithm>
#include <array>
#include <arrowstile/gatekeeper.hpp>
#include <bit>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <set>
#include <utility>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr Span kTick = milliseconds(10);
constexpr TimerToken kTickToken{1};

constexpr double kWindowStretch = 1.0;  // window length over burst / rate
constexpr double kNearQuota = 0.5;      // of the burst; below it totals are read again, at most so often:
constexpr Span kRefresh = milliseconds(100);
constexpr Span kHeadroom = milliseconds(500);
constexpr double kJitter = 0.5;
constexpr Span kFullFor = milliseconds(3000);
constexpr Span kOpenEpoch = milliseconds(20000);
constexpr Span kLongestKeep = milliseconds(60000);
constexpr double kCallsFirst = 200, kCallsLeast = 5, kCallsMost = 2000;  // to the counter, a second
constexpr double kCallsMore = 400, kCallsCut = 0.7, kCallsAtOnce = 20;

constexpr double kFirstLimit = 6;   // of all gateways together
constexpr double kCrossing = 0.15;  // what another zone weighs in the ranking, in usual latencies
constexpr double kCheapPart = 0.6;  // of a limit, for the calls that earn least
constexpr double kLateAt = 0.2, kEasyAt = 0.08;  // of the latency target

constexpr double kUsualPhi = 1;  // up to here a silence is nothing unusual
constexpr double kBadShare = 0.3;
constexpr std::size_t kJudgedFrom = 4;
constexpr Span kBar = milliseconds(250);
constexpr int kMostStrikes = 4;

constexpr unsigned kTurnsFrom = 8;  // gateways
constexpr double kFurtherShare = 0.2, kFurtherStore = 15;
constexpr Span kRoomAdvice = milliseconds(250);

double ms(Span span) { return static_cast<double>(span.count()) / 1000; }

Span spanOf(double inMs) { return Span{std::llround(inMs * 1000)}; }

std::uint64_t mixed(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
    return value ^ (value >> 31);
}

/// PCG-XSH-RR, 64 bits of state, 32 of output.
class Chance {
public:
    explicit Chance(std::uint64_t seed) : state_(mixed(seed)) {}
    double unit() {
        const std::uint64_t old = state_;
        state_ = old * 6364136223846793005ull + 1442695040888963407ull;
        const auto shifted = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
        return std::rotr(shifted, static_cast<int>(old >> 59)) / 4294967296.0;
    }

private:
    std::uint64_t state_;
};

/// The last few samples of a measurement.
template <std::size_t most>
class Recent {
public:
    void add(double sample) {
        samples_[next_] = sample;
        next_ = (next_ + 1) % most;
        held_ = std::min(held_ + 1, most);
    }
    std::size_t size() const { return held_; }
    double mean(double otherwise) const {
        const double sum = std::accumulate(samples_.begin(), samples_.begin() + held_, 0.0);
        return held_ > 0 ? sum / static_cast<double>(held_) : otherwise;
    }

private:
    std::array<double, most> samples_{};
    std::size_t next_ = 0, held_ = 0;
};

struct RouteRow {
    Effect effect;
    RepeatScope scope;
    Span repeatWindow, target;
    double value;
    Recent<64> latencies;
};

struct Worker {
    WorkerEntry entry;
    int out = 0;
    double limit = 1, share = 1;
    Recent<16> slowness;  // latency over the route's usual one
    Recent<16> bad;       // 1: no good answer
    Recent<16> gaps;      // silences that ended, while something was out
    Span quietSince{}, barredUntil{}, restUntil{}, limitCutAt{};
    int strikes = 0;
    std::uint64_t sentInTurn = 0;  // the last turn of cold starts in which it was sent a try
    double key = 1;
};

/// A count on the counter service as this gateway knows it.
struct Count {
    std::int64_t index = -1;
    double total = 0, confirmed = 0;                   // the last reply, and our own part of it
    double calling = 0, unsent = 0, unknown = 0;       // our own that no reply holds yet
    bool heard = false, callOut = false, due = false;  // due: holds a pass that has not been reported
    Span heardAt{}, heardFor{};                        // the last reply, and how much of the window it covers
    double booked = 0;  // the others' part that the refilled store below has taken in
    double use() const { return total + calling + unsent + unknown; }
    double own() const { return confirmed + calling + unsent + unknown; }
    double others() const { return heard ? std::max(0.0, total - confirmed) : 0; }
};

enum class Meaning : std::uint8_t { units, open };

/// The two windows of the estimate, or two epochs of an open count.
struct Pair {
    Count current, previous;
    Count *at(std::int64_t index) {
        return current.index == index ? &current : previous.index == index ? &previous : nullptr;
    }
    void turnTo(std::int64_t index) {
        if (index != current.index) {
            previous = index == current.index + 1 ? current : Count{.index = index - 1};
            current = Count{.index = index};
        }
    }
};

struct Customer {
    PlanId plan;
    unsigned gateways = 1;
    Pair units, open;
    int openHere = 0;
    Span fullAt{}, openRest{};  // when the open cap was last full, and how long its share rests
    std::deque<CallId> held;
    std::size_t heldInCall = 0;
    double seenPart = 1;
    bool listed = false;  // stands in the list of those with a count to report
    double refilled = 0, guessed = 0;  // the quota's store as it is known, and what was guessed into it
    Span refilledAt{};
    double ceilingLeft = 0;
    Span ceilingAt{}, seenAt{};
};

struct Call : CallTaken {
    Span taken{}, until{}, sentAt{}, maybeRanFrom{};
    unsigned tries = 0;
    bool out = false, held = false, closed = false, mayHaveRun = false;
    WorkerId worker{};
    WorkerEntry maybeRanAt{};
    std::int64_t openEpoch = -1;
};

struct CountCall {
    CustomerId customer;
    Meaning meaning;
    std::int64_t index;
};

}  // namespace

struct Gatekeeper::Mind {
    Mind(const SiteFacts &given, std::uint64_t seed) : facts(given), chance(seed) {
        for (const Route &route : facts.routes) {
            routes.push_back({route.effect, route.repeatScope, route.repeatWindow});
            routes.back().target = route.latencyTarget;
            routes.back().value = route.billedValue;
        }
        usual = usualLatency();
    }

    SiteFacts facts;
    Plan unlimited;
    Chance chance;
    std::vector<RouteRow> routes;
    std::map<WorkerId, Worker> workers;
    std::vector<Worker *> ranked;
    std::map<CallId, Call> calls;
    std::map<CustomerId, Customer> customers;
    std::map<CountName, CountCall> countCalls;
    std::deque<CallId> line;
    std::deque<CustomerId> due;   // have a count to report
    std::set<CustomerId> waits;   // hold calls for the counter
    Recent<64> worths;
    double furtherLeft = kFurtherStore;
    double callsASecond = kCallsFirst, callsLeft = kCallsAtOnce;
    Span now{}, startedAt{}, pacedAt{}, paceCutAt{}, countOkAt{};
    bool ticking = false, countFailing = false, commonFailure = false, orderOld = true;
    CustomerId lookedAt;
    double usual = 0;  // latency, when the order was last renewed
    std::vector<Action> actions;

    std::vector<Action> handle(Span at, const Event &event) {
        now = at;
        actions.clear();
        if (!ticking) {
            ticking = true;
            startedAt = pacedAt = now;
            actions.push_back(SetTimer{now + kTick, kTickToken});
        }
        std::visit([this](const auto &what) { on(what); }, event);
        return std::move(actions);
    }

    // ---- the design: the cached two-window estimate ----

    const Plan &planOf(PlanId id) const {
        return id.value < facts.plans.size() ? facts.plans[id.value] : unlimited;
    }

    static bool limitsRate(const Plan &plan) { return plan.rate > 0 && plan.burst > 0; }

    Span windowOf(const Plan &plan) const {
        return limitsRate(plan) ? Span{1} + spanOf(kWindowStretch * plan.burst / plan.rate * 1000)
                                : kOpenEpoch;
    }

    /// A phase for each customer, so that not all windows of a site turn at one moment.
    Span phased(CustomerId id, Span length) const {
        return now + Span{static_cast<std::int64_t>(mixed(id.value) >> 1) % length.count()};
    }

    Customer &customerOf(const CallTaken &rq) {
        auto [at, fresh] = customers.try_emplace(rq.customer);
        Customer &cons = at->second;
        cons.plan = rq.plan;
        cons.gateways = std::clamp(rq.gateways, 1u, facts.gateways);
        cons.seenAt = now;
        if (!fresh) return cons;
        cons.ceilingAt = startedAt;
        cons.refilledAt = now;
        cons.refilled = planOf(rq.plan).burst;
        cons.seenPart = 1.0 / cons.gateways;
        return cons;
    }

    bool admits(CustomerId id, Customer &cons, double units) {
        const Plan &plan = planOf(cons.plan);
        if (!limitsRate(plan)) return true;
        const double limit = plan.rate * ms(windowOf(plan)) / 1000;
        if (turn(id, cons)) {
            const double own = estimate(id, cons, &Count::own);
            return own <= 0 || own + units <= limit * ourPart(cons);
        }
        // The estimate fades in proportion, the quota fills at its rate: after a burst it would refuse with
        // half of the quota unused. There, and only there, the refilled store has the last word.
        return estimate(id, cons, &Count::use) + units <= limit || cons.refilled >= units;
    }

    /// The others' use a millisecond by the last totals; never above the rate, to which they are held too.
    double othersPerMs(const Customer &cons, Span length) const {
        const Count &current = cons.units.current, &previous = cons.units.previous;
        const double known = std::max(ms(current.heardFor + previous.heardFor), ms(length) / 4);
        return std::min((current.others() + previous.others()) / known, planOf(cons.plan).rate / 1000);
    }

    /// Brings windows and store up to now; true if neither window was heard of: only our share is safe then.
    bool turn(CustomerId id, Customer &cons) {
        const Plan &plan = planOf(cons.plan);
        const Span length = windowOf(plan);
        cons.units.turnTo(phased(id, length) / length);
        const double passed = ms(now - cons.refilledAt), others = othersPerMs(cons, length) * passed;
        cons.refilled = std::min(plan.burst, cons.refilled + plan.rate / 1000 * passed - others);
        cons.guessed += others;
        cons.refilledAt = now;
        return !cons.units.current.heard && !cons.units.previous.heard;
    }

    /// What of a limit is ours while nothing is heard: halfway from an even share to what was last seen.
    double ourPart(const Customer &cons) const { return (1.0 / cons.gateways + cons.seenPart) / 2; }

    double estimate(CustomerId id, const Customer &cons, double (Count::*use)() const) const {
        const Span length = windowOf(planOf(cons.plan)), into = phased(id, length) % length;
        const Count &current = cons.units.current, &previous = cons.units.previous;
        // Between replies the others go on: against old totals that let each gateway pass the limit alone.
        const double perMs = othersPerMs(cons, length), elapsed = ms(into) / ms(length);
        const double unseenCurrent = perMs * ms(into - current.heardFor);
        const double unseenPrevious = perMs * ms(length - previous.heardFor);
        return (current.*use)() + unseenCurrent + ((previous.*use)() + unseenPrevious) * (1 - elapsed);
    }

    void rateLimit(CallId id, Span wait) {
        const double most = ms(std::min(wait, facts.longestAdvice));
        const Span advice = spanOf(most * (1 - kJitter * chance.unit()));
        actions.push_back(RateLimit{id, facts.mayAdvise ? std::optional(advice) : std::nullopt});
    }

    Span refillTime(double units, const Customer &cons) const {
        const Plan &plan = planOf(cons.plan);
        return kHeadroom + (plan.rate > 0 ? spanOf(units / plan.rate * 1000) : Span{});
    }

    // ---- 6: reports to the counter, and trust in it ----

    CountName nameOf(CustomerId id, Meaning meaning, std::int64_t index) const {
        return {mixed(mixed(id.value * 2 + (meaning == Meaning::open)) ^ static_cast<std::uint64_t>(index))};
    }

    /// Tells the counter what it has not been told. Adds are joined while a call for that name is out or the
    /// counter fails, since it goes on working on calls that nobody waits for; none is dropped.
    void report(CustomerId id, Meaning meaning, Count &count, Span length, bool read = false) {
        if (!facts.mayCount || count.index < 0 || count.callOut || !(count.due || read)) return;
        Customer &cons = customers.at(id);
        const bool asked = meaning == Meaning::open && !cons.held.empty();
        if (count.unsent == 0 && !read && !asked) return;
        if (!mayCall(read ? kCallsAtOnce / 2 : 1)) {
            if (count.due && !std::exchange(cons.listed, true)) due.push_back(id);
            return;
        }
        count.due = false;
        const CountName name = nameOf(id, meaning, count.index);
        countCalls[name] = {id, meaning, count.index};
        actions.push_back(AddCount{name, count.unsent, std::min(kLongestKeep, 3 * length)});
        count.calling = std::exchange(count.unsent, 0);
        count.callOut = true;
        if (asked) cons.heldInCall = cons.held.size();
    }

    /// A refused customer reports nothing, so its totals would stand still while the other gateways go on
    /// passing: near the quota they are read again, at most so often and only when the customer asks.
    void refresh(CustomerId id, Customer &cons) {
        const Plan &plan = planOf(cons.plan);
        if (!limitsRate(plan) || cons.refilled > kNearQuota * plan.burst) return;
        Count &current = cons.units.current, &previous = cons.units.previous;
        report(id, Meaning::units, current, windowOf(plan), now - current.heardAt > kRefresh);
        const bool unfinished = previous.heard && previous.heardFor < windowOf(plan);
        report(id, Meaning::units, previous, windowOf(plan), unfinished);
    }

    void reportAll(CustomerId id, Customer &cons) {
        const Span length = windowOf(planOf(cons.plan));
        for (Count *count : {&cons.units.current, &cons.units.previous})
            report(id, Meaning::units, *count, length);
        for (Count *count : {&cons.open.current, &cons.open.previous})
            report(id, Meaning::open, *count, kOpenEpoch);
    }

    void on(const CountAnswered &sum) {
        const auto found = countCalls.find(sum.name);
        if (found == countCalls.end()) return;
        const CountCall call = found->second;
        countCalls.erase(found);
        const bool ok = sum.outcome == Outcome::answered;
        learnPace(ok, sum.latency);
        const auto customer = customers.find(call.customer);
        if (customer == customers.end()) return;
        Customer &cons = customer->second;
        Count *count = (call.meaning == Meaning::units ? cons.units : cons.open).at(call.index);
        if (count == nullptr) return;
        const double added = std::exchange(count->calling, 0);
        count->callOut = false;
        if (ok) {
            // Answers come in call order: an add of unknown fate is in this total if it ever arrived.
            count->confirmed += added + count->unknown;
            count->unknown = 0;
            // A total below our own part has lost counts: what we know of counts until the window turns.
            count->total = std::max(sum.total, count->confirmed);
            count->heard = true;
            count->heardAt = now;
            if (call.meaning == Meaning::units) {
                turn(call.customer, cons);
                const Span length = windowOf(planOf(cons.plan));
                const bool running = count == &cons.units.current;
                count->heardFor = running ? phased(call.customer, length) % length : length;
                cons.refilled -= count->others() - count->booked - cons.guessed;
                count->booked = count->others();
                cons.guessed = 0;
                const Pair &both = cons.units;
                const double all = both.current.total + both.previous.total;
                if (all > 0) cons.seenPart = (both.current.confirmed + both.previous.confirmed) / all;
            }
        } else if (sum.outcome == Outcome::full || sum.outcome == Outcome::connectFailed) {
            count->unsent += added;
            count->due = true;
        } else {
            count->unknown += added;
        }
        if (call.meaning == Meaning::open && count == &cons.open.current) decideHeld(cons, ok, count->total);
        reportAll(call.customer, cons);
    }

    bool trusted() const {
        return facts.mayCount && (!countFailing || now - countOkAt < 4 * facts.countTimeout);
    }

    /// Paced by what the counter takes: it works on calls that nobody waits for too, so that too many bring
    /// less. Holds against a slow, full, silent or refusing counter and against very many gateways.
    bool mayCall(double spare) {
        callsLeft = std::min(kCallsAtOnce, callsLeft + callsASecond * ms(now - pacedAt) / 1000);
        pacedAt = now;
        if (callsLeft < spare) return false;
        callsLeft -= 1;
        return true;
    }

    void learnPace(bool ok, Span latency) {
        countFailing = !ok;
        if (ok) countOkAt = now;
        if (ok && 4 * latency < facts.countTimeout) {
            callsASecond = std::min(kCallsMost, callsASecond + kCallsMore / callsASecond);
        } else if ((!ok || 2 * latency > facts.countTimeout) && now - paceCutAt > facts.countTimeout) {
            callsASecond = std::max(kCallsLeast, callsASecond * kCallsCut);
            callsLeft = std::min(callsLeft, 1.0);
            paceCutAt = now;
        }
    }

    // ---- 5: guards for ceilings and open caps ----

    /// Each gateway owns an even part, empty at its start: a restart can't refill what it had spent.
    bool underCeiling(Customer &cons, double units) {
        const Plan &plan = planOf(cons.plan);
        if (plan.ceilingRate <= 0) return true;
        const double part = 1.0 / cons.gateways;
        const double filled = plan.ceilingRate * ms(now - cons.ceilingAt) / 1000;
        cons.ceilingLeft = std::min(plan.ceilingBurst * part, cons.ceilingLeft + filled * part);
        cons.ceilingAt = now;
        return cons.ceilingLeft >= units;
    }

    double usualLatency() const {
        double sum = 0;
        for (const RouteRow &row : routes) sum += row.latencies.mean(ms(row.target) / 4);
        return sum / std::max(1.0, static_cast<double>(routes.size()));
    }

    /// An even part of the cap; a part under one is kept by rests, as one each would be far too many.
    unsigned openShare(const Customer &cons) const {
        return now < cons.openRest ? 0 : std::max(1u, planOf(cons.plan).openCap / cons.gateways);
    }

    bool nearCap(const Customer &cons) const { return cons.fullAt != Span{} && now - cons.fullAt < kFullFor; }

    /// Tries end soon: what the others had open when a total was heard fades with the usual latency.
    double stillOpen(const Count &count) const {
        return count.others() * std::exp(-ms(now - count.heardAt) / usual / 3);
    }

    bool underCap(CustomerId id, Customer &cons) {
        const Plan &plan = planOf(cons.plan);
        if (plan.openCap == 0) return true;
        cons.open.turnTo(phased(id, kOpenEpoch) / kOpenEpoch);
        const double others = stillOpen(cons.open.current) + stillOpen(cons.open.previous);
        const double most = trusted() || !nearCap(cons) ? plan.openCap : openShare(cons);
        const bool room = cons.openHere + (nearCap(cons) ? 0 : others) < most;
        if (!room) cons.fullAt = now;
        return room;
    }

    void decideHeld(Customer &cons, bool ok, double total) {
        if (!ok) cons.heldInCall = cons.held.size();
        const unsigned cap = planOf(cons.plan).openCap;
        const double most = ok ? cap : openShare(cons);
        double open = ok ? total + stillOpen(cons.open.previous) - static_cast<double>(cons.heldInCall)
                         : cons.openHere - static_cast<double>(cons.held.size());
        if (total >= cap) cons.fullAt = now;
        const auto last = cons.held.begin() + static_cast<std::ptrdiff_t>(cons.heldInCall);
        const std::vector<CallId> counted(cons.held.begin(), last);
        cons.held.erase(cons.held.begin(), last);
        cons.heldInCall = 0;
        for (const CallId id : counted) {
            Call &rq = calls.at(id);
            if (!rq.closed && ++open <= most) {
                start(id, rq, cons);
                continue;
            }
            countOpen(rq, -1);
            if (!rq.closed) rateLimit(id, refillTime(rq.units, cons));
            calls.erase(id);
        }
    }

    void countOpen(Call &rq, int step) {
        const auto found = customers.find(rq.customer);
        if (found == customers.end() || planOf(rq.plan).openCap == 0) return;
        Customer &cons = found->second;
        cons.open.turnTo(phased(rq.customer, kOpenEpoch) / kOpenEpoch);
        cons.openHere = std::max(0, cons.openHere + step);
        const double part = static_cast<double>(planOf(rq.plan).openCap) / cons.gateways;
        if (step > 0) rq.openEpoch = cons.open.current.index;
        if (step < 0) cons.openRest = now + spanOf(std::max(0.0, 1 / part - 1) * usual);
        if (Count *count = cons.open.at(rq.openEpoch)) {
            count->unsent += step;
            count->due = true;
            report(rq.customer, Meaning::open, *count, kOpenEpoch);
        }
    }

    // ---- API calls and upstream tries ----

    void on(const CallTaken &taken) {
        if (calls.contains(taken.call)) return;
        if (taken.route.value >= routes.size()) {
            actions.push_back(GiveError{taken.call});
            return;
        }
        Customer &cons = customerOf(taken);
        const bool within = admits(taken.customer, cons, taken.units) && underCap(taken.customer, cons);
        if (!within || !underCeiling(cons, taken.units)) {
            rateLimit(taken.call, refillTime(taken.units, cons));
            refresh(taken.customer, cons);
            return;
        }
        Call &rq = calls[taken.call] = {taken, now, now + taken.left};
        // With the cap lately full any cache is too old: the try is counted first and held for the answer.
        rq.held = nearCap(cons) && trusted() && taken.left > 4 * facts.countTimeout;
        if (!rq.held) return start(taken.call, rq, cons);
        waits.insert(taken.customer);
        cons.held.push_back(taken.call);
        countOpen(rq, 1);
        if (!cons.open.current.callOut) decideHeld(cons, false, 0);
    }

    void start(CallId id, Call &rq, Customer &cons) {
        worths.add(worthOf(rq));
        const auto worker = underCeiling(cons, rq.units) ? pick(rq) : std::nullopt;
        if (!worker) {
            if (rq.held) countOpen(rq, -1);
            rateLimit(id, kRoomAdvice);
            calls.erase(id);
            return;
        }
        const Plan &plan = planOf(cons.plan);
        cons.ceilingLeft -= rq.units;
        furtherLeft = std::min(kFurtherStore, furtherLeft + kFurtherShare);
        send(id, rq, *worker);
        if (limitsRate(plan)) {
            cons.refilled -= rq.units;
            cons.units.current.unsent += rq.units;
            cons.units.current.due = true;
            report(rq.customer, Meaning::units, cons.units.current, windowOf(plan));
            refresh(rq.customer, cons);
        }
    }

    void send(CallId id, Call &rq, WorkerId to) {
        Worker &worker = workers.at(to);
        if (worker.out++ == 0) worker.quietSince = now;
        worker.sentInTurn = static_cast<std::uint64_t>(now / std::max(Span{1}, facts.fallSpan));
        ++rq.tries;
        rq.out = true;
        rq.worker = to;
        rq.sentAt = now;
        // On trial a worker gets only what may run again, and little time: against one that never answers.
        const Span patience = std::max(facts.connectTimeout, routes[rq.route.value].target / 3);
        const bool trial = onTrial(worker) && mayRepeat(rq);
        actions.push_back(SendTry{id, to, trial ? std::min(rq.until, now + patience) : rq.until});
        if (!std::exchange(rq.held, false)) countOpen(rq, 1);
    }

    bool mayRepeat(const Call &rq) const { return routes[rq.route.value].effect != Effect::nonIdempotent; }

    void on(const TryEnded &ended) {
        const auto at = workers.find(ended.worker);
        if (at != workers.end()) learn(at->second, ended);
        const auto found = calls.find(ended.call);
        if (found == calls.end() || !found->second.out) return;
        Call &rq = found->second;
        rq.out = false;
        const bool neverRan = ended.outcome == Outcome::full || ended.outcome == Outcome::connectFailed ||
                              ended.outcome == Outcome::notSent;
        if (at != workers.end()) {
            at->second.out = std::max(0, at->second.out - 1);
            if (!neverRan && !rq.mayHaveRun) {
                rq.mayHaveRun = true;
                rq.maybeRanFrom = rq.sentAt;
                rq.maybeRanAt = at->second.entry;
            }
        }
        countOpen(rq, -1);
        settle(rq, ended);
        if (rq.closed || ended.callClosed) {
            calls.erase(found);
        } else {
            line.push_back(ended.call);
        }
        serveLine();
    }

    /// Guessed units are put right in the estimate at once, and at the counter with the next add.
    void settle(const Call &rq, const TryEnded &ended) {
        const auto found = customers.find(rq.customer);
        if (!ended.trueUnits || found == customers.end() || !limitsRate(planOf(rq.plan))) return;
        turn(rq.customer, found->second);
        found->second.refilled -= *ended.trueUnits - rq.units;
        found->second.units.current.unsent += *ended.trueUnits - rq.units;
    }

    void on(const TryFlowing &flowing) {
        // A stream that has begun is the client's: it is neither called off nor answered again.
        if (const auto found = calls.find(flowing.call); found != calls.end()) found->second.closed = true;
    }

    void on(const ClientGone &gone) {
        const auto found = calls.find(gone.call);
        if (found == calls.end() || found->second.closed) return;
        Call &rq = found->second;
        rq.closed = true;
        if (rq.out && facts.mayCancel) actions.push_back(CallOffTry{gone.call, tryNumber(rq)});
        if (!rq.out && !rq.held) calls.erase(found);
    }

    TryNumber tryNumber(const Call &rq) const { return {static_cast<std::uint8_t>(rq.tries - 1)}; }

    /// The final answer, given as soon as nothing more will be tried.
    void finish(CallId id, const Call &rq) {
        const RouteRow &row = routes[rq.route.value];
        const bool harmless = mayRunAgain(rq) && (!rq.mayHaveRun || row.effect == Effect::idempotent ||
                                                  row.scope == RepeatScope::all);
        if (harmless) rateLimit(id, kRoomAdvice);
        if (!harmless) actions.push_back(GiveError{id});
        calls.erase(id);
    }

    // ---- 4: the line of further tries ----

    bool mayTryAgain(const Call &rq) const {
        const RouteRow &row = routes[rq.route.value];
        return rq.tries < facts.mostTries && now < std::min(rq.taken + row.target, rq.until - 2 * kTick) &&
               mayRunAgain(rq);
    }

    bool mayRunAgain(const Call &rq) const {
        const RouteRow &row = routes[rq.route.value];
        return !rq.mayHaveRun || row.effect == Effect::idempotent ||
               (row.effect == Effect::tokened && now < rq.maybeRanFrom + row.repeatWindow);
    }

    bool inScope(const Call &rq, const Worker &worker) const {
        const RouteRow &row = routes[rq.route.value];
        if (!rq.mayHaveRun || row.effect != Effect::tokened || row.scope == RepeatScope::all) return true;
        return row.scope == RepeatScope::zone ? worker.entry.zone == rq.maybeRanAt.zone
                                              : worker.entry.cell == rq.maybeRanAt.cell;
    }

    void serveLine() {
        for (std::size_t waiting = line.size(); waiting > 0; --waiting) {
            const CallId id = line.front();
            line.pop_front();
            const auto found = calls.find(id);
            if (found == calls.end()) continue;
            Call &rq = found->second;
            if (!mayTryAgain(rq)) {
                finish(id, rq);
                continue;
            }
            const auto worker = furtherLeft >= 1 ? pick(rq) : std::nullopt;
            if (!worker) {
                line.push_back(id);
                continue;
            }
            furtherLeft -= 1;
            send(id, rq, *worker);
        }
    }

    // ---- 1: ranked fill ----

    /// Where workers are pressed the calls that earn less for the time they take give way first.
    double worthOf(const Call &rq) const {
        const RouteRow &row = routes[rq.route.value];
        return row.value * planOf(rq.plan).price / row.latencies.mean(ms(row.target));
    }

    std::optional<WorkerId> pick(const Call &rq) {
        if (orderOld) rerank();
        const double part = std::clamp(worthOf(rq) / worths.mean(1), kCheapPart, 1.0);
        for (const bool beyondShare : {false, true}) {
            for (const Worker *worker : ranked) {
                const WorkerId id = worker->entry.worker;
                if (now < std::max(worker->barredUntil, worker->restUntil)) continue;
                if (!beyondShare && worker->out >= worker->share) continue;
                const bool again = rq.tries > 0 && rq.worker == id && ranked.size() > 1;
                if (again || (onTrial(*worker) && !mayRepeat(rq)) || !inScope(rq, *worker)) continue;
                if (worker->out < limitOf(*worker) * part) return id;
            }
        }
        return std::nullopt;
    }

    double limitOf(const Worker &worker) const {
        const double cold = coldLimit(worker);
        return onTrial(worker) ? std::min(1.0, cold) : std::min(worker.limit, cold);
    }

    void rerank() {
        ranked.clear();
        std::size_t failures = 0;
        for (auto &[id, worker] : workers) {
            if (worker.entry.state != WorkerState::ready) continue;
            ranked.push_back(&worker);
            failures += failing(worker);
            const double slow = std::clamp(worker.slowness.mean(1), 0.25, 4.0);
            worker.key = slow * (1 + worker.out) * std::max(1.0, phi(worker) / kUsualPhi) + (worker.entry.zone == facts.zone ? 0 : kCrossing);
            worker.share = worker.out + 1;
        }
        const auto better = [](const Worker *a, const Worker *b) { return a->key < b->key; };
        commonFailure = 2 * failures > ranked.size();  // most fail: something they share, and none is better
        std::stable_sort(ranked.begin(), ranked.end(), better);
        usual = usualLatency();
        orderOld = false;
    }

    void learnLimit(Worker &worker, double latency, double target) {
        if (latency > kLateAt * target) {
            if (ms(now - worker.limitCutAt) > kLateAt * target) {
                worker.limit = std::max(1.0 / facts.gateways, worker.limit * 0.7);
                worker.limitCutAt = now;
            }
        } else if (latency < kEasyAt * target && worker.out >= 0.7 * worker.limit) {
            worker.limit += std::min(0.5, 1 / worker.limit);
        }
    }

    // ---- 2: health ----

    bool failing(const Worker &worker) const {
        return worker.bad.size() >= kJudgedFrom && worker.bad.mean(0) > kBadShare;
    }

    bool onTrial(const Worker &worker) const {
        return !commonFailure && (worker.strikes > 0 || failing(worker));
    }

    void strike(Worker &worker) {
        worker.strikes = std::min(worker.strikes + 1, kMostStrikes);
        worker.barredUntil = now + kBar * (1 << (worker.strikes - 1));
    }

    void learn(Worker &worker, const TryEnded &ended) {
        if (const auto rq = calls.find(ended.call); ended.outcome == Outcome::answered) {
            worker.bad.add(0);
            worker.strikes = std::max(0, worker.strikes - 1);
            if (rq == calls.end()) return;
            RouteRow &row = routes[rq->second.route.value];
            row.latencies.add(ms(ended.latency));
            worker.slowness.add(ms(ended.latency) / std::max(0.1, row.latencies.mean(1)));
            learnLimit(worker, ms(ended.latency), ms(row.target));
        } else if (ended.outcome == Outcome::full) {
            worker.limit = std::min(worker.limit, std::max(1.0, worker.out - 1.0));
            worker.barredUntil = std::max(worker.barredUntil, now + kBar / 2);
        } else if (ended.outcome == Outcome::errored || ended.outcome == Outcome::timedOut) {
            worker.bad.add(1);
            if (onTrial(worker)) strike(worker);
        } else if (ended.outcome == Outcome::connectFailed || ended.outcome == Outcome::reset) {
            strike(worker);
        }
        if (ended.outcome != Outcome::answered && ended.outcome != Outcome::errored) return;
        // A limit under one is kept by rests: so many gateways can't overdrive a worker with one try each.
        worker.restUntil = now + spanOf(std::max(0.0, 1 / worker.limit - 1) * usual);
        worker.gaps.add(ms(now - worker.quietSince));
        worker.quietSince = now;
    }

    /// Phi accrual: how unlikely is the present silence, given the gaps before? It weighs in the ranking, so
    /// a worker that hangs, stalls or is cut off goes last, and when all are silent nothing changes.
    double phi(const Worker &worker) const {
        if (worker.out == 0 || worker.gaps.size() < kJudgedFrom) return 0;
        return ms(now - worker.quietSince) / std::max(1.0, worker.gaps.mean(1)) / std::log(10.0);
    }

    // ---- 3: warm-up ----

    /// A cold worker ends no more than it can do, so what is out bounds what is sent: all gateways together
    /// may have (multiple - 1) x capacity x span of work out, each its even part, as if for a single core.
    /// Where that part is under one try, gateways take turns by their number, a span each: one try each would
    /// be a stampede. Two turns touch any span, so that a turn has half of the tries.
    double coldLimit(const Worker &worker) const {
        const Span age = now - worker.entry.startedAt;
        if (worker.entry.startedAt == Span{} || age >= facts.warmUp) return worker.limit;
        const double warm = std::max(0.0, ms(age) / ms(facts.warmUp));
        const double capacity = facts.coldShare + (1 - facts.coldShare) * warm;
        const double tries = (facts.fallMultiple - 1) * capacity * ms(facts.fallSpan) / usual;
        if (tries >= facts.gateways || facts.gateways < kTurnsFrom) {
            return std::max(1.0, std::floor(tries / facts.gateways));
        }
        const auto turn = static_cast<std::uint64_t>(now / facts.fallSpan);
        const auto width = static_cast<std::uint64_t>(std::max(1.0, tries / 2));
        const auto first = mixed(worker.entry.worker.value) + turn * width;
        const bool ours = (facts.rank.value + first) % facts.gateways < width;
        return ours && worker.sentInTurn != turn ? 1 : 0;
    }

    // ---- the list of workers, timers, and what this version has no use for ----

    void on(const WorkerListed &news) {
        if (news.how == ListNews::failed) return;
        if (news.how != ListNews::changes) {
            for (auto &[id, worker] : workers) worker.entry.state = WorkerState::gone;
        }
        for (const WorkerEntry &entry : news.workers) {
            Worker &worker = workers[entry.worker];
            if (worker.entry.startedAt != entry.startedAt) {
                const int out = worker.out;
                worker = Worker{};  // another process: nothing that was learned of the last one holds
                worker.out = out;
                worker.quietSince = now;
            }
            if (worker.gaps.size() == 0) worker.limit = kFirstLimit / facts.gateways;
            worker.entry = entry;
        }
        rerank();
    }

    void on(const TimerFired &fired) {
        if (fired.token != kTickToken) return;
        actions.push_back(SetTimer{now + kTick, kTickToken});
        orderOld = true;
        if (!line.empty()) serveLine();
        for (std::size_t left = due.size(); left > 0 && callsLeft >= 1; --left) {
            const CustomerId id = due.front();
            due.pop_front();
            const auto at = customers.find(id);
            if (at == customers.end()) continue;
            at->second.listed = false;
            reportAll(id, at->second);
        }
        for (auto at = waits.begin(); at != waits.end();) {
            Customer &cons = customers.at(*at);
            // Whatever kept the counter's answer away, none waits for it longer than the counter may take.
            const bool late =
                !cons.held.empty() && now - calls.at(cons.held.front()).taken > 2 * facts.countTimeout;
            if (late) decideHeld(cons, false, 0);
            at = cons.held.empty() ? waits.erase(at) : std::next(at);
        }
        dropIdle();
    }

    /// One customer a tick is looked at, in turn: the cost does not grow with their number.
    void dropIdle() {
        auto at = customers.upper_bound(lookedAt);
        if (at == customers.end()) at = customers.begin();
        if (at == customers.end()) return;
        const auto &[id, cons] = *at;
        lookedAt = id;
        const Plan &plan = planOf(cons.plan);
        const bool idle = now - cons.seenAt > 2 * windowOf(plan) && cons.openHere == 0 && !cons.listed;
        if (idle && plan.ceilingRate <= 0) customers.erase(at);
    }

    void on(const ProbeEnded &) {}  // this version neither probes nor talks to its peers
    void on(const PeerHeard &) {}
};

Gatekeeper::Gatekeeper(const SiteFacts &facts, std::uint64_t seed)
    : mind_(std::make_unique<Mind>(facts, seed)) {}
Gatekeeper::~Gatekeeper() = default;
Gatekeeper::Gatekeeper(Gatekeeper &&) noexcept = default;
Gatekeeper &Gatekeeper::operator=(Gatekeeper &&) noexcept = default;

std::vector<Action> Gatekeeper::handle(Span now, const Event &event) { return mind_->handle(now, event); }

}  // namespace arrowstile
