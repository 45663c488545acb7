// Every decision of a gatekeeper. Hand each event to DecisionEngine::handle with the time, in the order in
// which things happened, and carry out the actions that come back in theirs. The interface is declared in
// include/arrowstile/decision_engine.hpp; docs/design.md tells what departs from the design's source.
// The design: admits() decides at once from a cached two-window estimate; report() tells the counter of every
// pass in the background, and the late reply refreshes the cache. Six mechanisms stand beside it:
//   1 ranked fill: pick(), reorder(), learnLimit()   4 line of further tries: serveLine()
//   2 health by route: learn(), callOffOvertaken()   5 guards: underCeiling(), underCap(), decideHeld()
//   3 warm-up limits: coldLimit()                    6 trust in the counter: trusted(), mayCall(), refresh()
#include <algorithm>
#include <array>
#include <arrowstile/decision_engine.hpp>
#include <bit>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <ranges>
#include <tuple>
#include <utility>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(10);
constexpr TimerToken kTickToken{1};

constexpr double kNearQuota = 0.5;                // of the burst; below it totals are read again,
constexpr Duration kRefresh = milliseconds(100);  // at most so often
constexpr Duration kBar = milliseconds(250), kBack = milliseconds(2000), kFullFor = milliseconds(3000);
constexpr int kAdvice = 3;              // so many fit into a latency target,
constexpr double kJitter = 0.5;         // less by up to this part
constexpr std::size_t kDueLooked = 64;  // of the line of counts, by a tick
constexpr Duration kOpenEpoch = milliseconds(20000), kLongest = milliseconds(60000);
// To the counter, a second and at once: figures of all gateways together, each has its even part.
constexpr double kCallsFirst = 600, kCallsLeast = 15, kLookAgain = 1;  // the last of each gateway
constexpr double kCallsMore = 1200, kCallsCut = 0.7, kCallsAtOnce = 60;

constexpr double kFewest = 8;                         // workers that a gateway uses at least
constexpr double kFirstLimit = 6, kLimitMore = 4;     // of all gateways together
constexpr double kCrossing = 0.15, kCheapPart = 0.6;  // of the usual latency; of a limit, for cheap calls
constexpr double kLateAt = 0.2, kEasyAt = 0.08;       // of the latency target

constexpr double kBadShare = 0.3, kFar = 3;             // of the outcomes; times the usual latency, by units
constexpr std::size_t kJudgedFrom = 4, kTurnsFrom = 8;  // samples; gateways

double ms(Duration span) { return static_cast<double>(span.count()) / 1000; }

Duration spanOf(double inMs) { return Duration{std::llround(inMs * 1000)}; }

std::uint64_t mixed(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
    return value ^ (value >> 31);
}

/// The last few samples of a measurement.
template <std::size_t most>
struct Recent {
    void add(double sample) { samples[added++ % most] = sample; }
    std::size_t size() const { return std::min(added, most); }
    double sum() const { return std::accumulate(samples.begin(), samples.begin() + size(), 0.0); }
    double mean(double otherwise) const { return added > 0 ? sum() / double(size()) : otherwise; }

    std::array<double, most> samples{};
    std::size_t added = 0;
};

struct RouteRow : Route {
    Recent<64> latencies;
    Recent<64> work;  // of the same, each up to where it counts as late: beyond that a worker's line speaks
    bool commonFailure = false;  // most workers fail: something they share, and none is better
};

/// How a worker does on one route: a fault may hit one route and spare the others.
struct Health {
    Recent<16> bad;  // 1: no good answer
    Timestamp barredUntil{};
};

struct Worker {
    WorkerEntry entry;
    int out = 0, cuts = 0;  // cuts: since its last answer
    double limit = 1, share = 1, key = 1;
    Recent<16> slowness;                               // latency over the route's usual one
    Recent<4> answered;                                // when the tries that it answered last had been sent
    Timestamp barredUntil{}, limitCutAt{}, endedAt{};  // endedAt: none before the first answer
    std::vector<Health> health;                        // by route
    bool left() const { return entry.state == WorkerState::gone && out == 0; }
};

/// A count on the counter service as this gateway knows it.
struct Count {
    std::int64_t index = -1;
    double total = 0, confirmed = 0;                   // the last reply, and our own part of it
    double calling = 0, unsent = 0, unknown = 0;       // our own that no reply holds yet
    bool heard = false, callOut = false, due = false;  // due: holds a pass that has not been reported
    Timestamp heardAt{};                               // the last reply
    Duration heardFor{};                               // how much of the window it covers
    double booked = 0;  // the others' part that the refilled store below has taken in
    double use() const { return total + calling + unsent + unknown; }
    double own() const { return confirmed + calling + unsent + unknown; }
    double others() const { return heard ? std::max(0.0, total - confirmed) : 0; }
};

enum class Meaning : std::uint8_t { units, open };
enum class Ask : std::uint8_t { pass, read, turn, first };  // why the counter is called

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
    Timestamp fullAt{}, openRest{};  // when the open cap was last full, and how long its share rests
    std::deque<CallId> held;    // for the counter's answer; the first so many are counted by the call out
    std::deque<CallId> asking;  // wait for the first totals of the customer
    std::size_t heldInCall = 0;
    bool known = false, listed = false;  // by the counter's replies; among those with a count to report
    double othersPerMs = 0;  // their use by the last totals, never above the rate: they are held to it too
    double refilled = 0, guessed = 0;  // the quota's store as it is known, and what was guessed into it
    double ceilingLeft = 0;
    Timestamp refilledAt{}, ceilingAt{}, seenAt{};
};

struct Call : CallReceived {
    Timestamp taken{}, until{}, sentAt{}, maybeRanFrom{};
    unsigned tries = 0;
    bool out = false, held = false, closed = false, mayHaveRun = false, calledOff = false;
    WorkerId worker{};
    WorkerEntry maybeRanAt{};
    std::int64_t openEpoch = -1;
};

}  // namespace

struct DecisionEngine::Impl {
    Impl(const EngineSettings &given, std::uint64_t seed) : facts(given), chanceState(mixed(seed)) {
        for (const Route &rt : facts.routes) routes.push_back({rt});
        rerank();
        callsASecond = part(kCallsFirst);
        callsLeft = atOnce();
    }

    EngineSettings facts;
    Plan unlimited;
    std::uint64_t chanceState;
    std::vector<RouteRow> routes;
    std::map<WorkerId, Worker> workers;
    std::vector<Worker *> order, ranked;
    std::map<CallId, Call> calls;
    std::map<CustomerId, Customer> customers;
    std::map<CountName, std::tuple<CustomerId, Meaning, std::int64_t>> countCalls;
    std::deque<CallId> line;
    std::deque<CustomerId> due;  // have a count to report, or calls held for the counter
    Recent<64> worths;
    Recent<16> took;  // latencies, of whatever route
    Recent<32> sendGaps;
    double callsASecond = 0, callsLeft = 0;
    double usual = 0, work = 0;  // latencies, as they are now and without the wait, when last ranked
    Timestamp now{}, startedAt{}, pacedAt{}, paceCutAt{}, countOkAt{}, sentLast{};
    bool ticking = false, countFailing = false, orderOld = true;
    std::size_t warm = 0;  // ready workers that are not cold
    CustomerId lookedAt;
    std::vector<Action> actions;

    std::vector<Action> handle(Timestamp at, const Event &event) {
        now = at;
        actions.clear();
        if (!std::exchange(ticking, true)) {
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

    Duration windowOf(const Plan &plan) const {
        return limitsRate(plan) ? Duration{1} + spanOf(plan.burst / plan.rate * 1000) : kOpenEpoch;
    }

    /// A phase for each customer: not all windows turn at one moment.
    Timestamp phased(CustomerId id, Duration length) const {
        return now + Duration{static_cast<std::int64_t>(mixed(id.value) >> 1) % length.count()};
    }

    Customer &customerOf(const CallReceived &rq) {
        auto [at, fresh] = customers.try_emplace(rq.customer);
        Customer &cons = at->second;
        cons.plan = rq.plan;
        cons.gateways = std::clamp(rq.gatewaySubsetSize, 1u, facts.gatewayCount);
        cons.seenAt = now;
        if (!fresh) return cons;
        cons.ceilingAt = startedAt;
        cons.refilledAt = now;
        cons.refilled = planOf(rq.plan).burst;
        cons.othersPerMs = planOf(rq.plan).rate / 1000 * (1 - 1.0 / cons.gateways);
        return cons;
    }

    bool admits(CustomerId id, Customer &cons, double units) {
        const Plan &plan = planOf(cons.plan);
        if (!limitsRate(plan)) return true;
        const double limit = plan.rate * ms(windowOf(plan)) / 1000;
        turn(id, cons);
        const double own = cons.units.current.own() + cons.units.previous.own();
        if (!cons.known && own <= 0) return true;
        // The estimate fades in proportion, the quota fills at its rate: after a burst it would refuse with
        // half unused. There the refilled store has the last word, with room for calls that others passed
        // unseen.
        const double unseen = std::max(1.0, cons.gateways / 2.0 - 1);
        return estimate(id, cons) + units <= limit || (cons.known && cons.refilled >= units * unseen);
    }

    void turn(CustomerId id, Customer &cons) {
        const Plan &plan = planOf(cons.plan);
        const Duration length = windowOf(plan);
        cons.units.turnTo(phased(id, length) / length);
        const double passed = ms(now - cons.refilledAt), others = cons.othersPerMs * passed;
        cons.refilled = std::min(plan.burst, cons.refilled + plan.rate / 1000 * passed - others);
        cons.guessed += others;
        cons.refilledAt = now;
    }

    /// Between replies the others go on: against old totals that let each gateway pass the limit alone.
    /// Before the first reply that leaves an even share, in an outage what they left by the last replies.
    double estimate(CustomerId id, const Customer &cons) const {
        const Duration length = windowOf(planOf(cons.plan)), into = phased(id, length) % length;
        const Count &current = cons.units.current, &previous = cons.units.previous;
        const double unseen = cons.othersPerMs * ms(into - current.heardFor);
        const double before = cons.othersPerMs * ms(length - previous.heardFor);
        return current.use() + unseen + (previous.use() + before) * (1 - ms(into) / ms(length));
    }

    /// PCG-XSH-RR, 64 bits of state, 32 of output; from 0 to 1.
    double chance() {
        const std::uint64_t old = chanceState;
        chanceState = old * 6364136223846793005ull + 1442695040888963407ull;
        const auto shifted = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
        return std::rotr(shifted, static_cast<int>(old >> 59)) / 4294967296.0;
    }

    /// A retry belongs to its first try: one that comes back past the latency target uses up quota and earns
    /// next to nothing, and refused late it costs. So all retries of a client shall fit into the target.
    void rateLimit(CallId id, RouteId route) {
        const Duration most = std::min(facts.maxRetryAfter, routes[route.value].latencyTarget / kAdvice);
        const Duration advice = spanOf(ms(most) * (1 - kJitter * chance()));
        actions.push_back(
            AnswerRateLimited{id, facts.maySendRetryAfter ? std::optional(advice) : std::nullopt});
    }

    // ---- 6: reports to the counter, and trust in it ----

    CountName nameOf(CustomerId id, Meaning meaning, std::int64_t index) const {
        return {mixed(mixed(id.value * 2 + (meaning == Meaning::open)) ^ static_cast<std::uint64_t>(index))};
    }

    /// Tells the counter what it has not been told. Adds are joined while a call for that name is out or the
    /// counter fails, since it goes on working on calls that nobody waits for; none is dropped.
    void report(CustomerId id, Meaning meaning, Count &count, Duration length, Ask ask = Ask::pass) {
        const bool read = ask == Ask::read;
        if (!facts.mayUseCounter || count.index < 0 || count.callOut || !(count.due || read)) return;
        Customer &cons = customers.at(id);
        const bool asked = ask == Ask::first || (meaning == Meaning::open && !cons.held.empty());
        if (count.unsent == 0 && !read && !asked) return;
        // Short of calls, a pass waits for its turn by urgency, as those in line before it do.
        const bool waits = read || (ask == Ask::pass && !asked && !due.empty());
        const bool may = mayCall(waits ? atOnce() / 2 : 1);
        if (!may && count.due) list(id, cons);
        if (!may) return;
        count.due = false;
        const CountName name = nameOf(id, meaning, count.index);
        countCalls[name] = {id, meaning, count.index};
        const Duration wait = 4 * facts.counterTimeout;  // a late answer still beats an add of unknown fate
        actions.push_back(AddToCount{name, count.unsent, std::min(kLongest, 3 * length), wait});
        count.calling = std::exchange(count.unsent, 0);
        count.callOut = true;
        if (meaning == Meaning::open) cons.heldInCall = cons.held.size();
    }

    /// Short of calls, those go first whose untold use is large beside what the customer has left.
    double urgency(CustomerId id) const {
        const Customer &cons = customers.at(id);
        const Plan &plan = planOf(cons.plan);
        if (!cons.held.empty()) return kLongest.count();
        const double open = std::abs(cons.open.current.unsent) / std::max(1u, plan.openCap);
        if (!limitsRate(plan)) return open;
        const double units = std::abs(cons.units.current.unsent) + std::abs(cons.units.previous.unsent);
        return open + units / std::max(1.0, plan.burst - estimate(id, cons));
    }

    void list(CustomerId id, Customer &cons) {
        if (std::exchange(cons.listed, true)) return;
        cons.held.empty() ? due.push_back(id) : due.push_front(id);
    }

    /// A refused customer reports nothing, so its totals would stand still while the other gateways go on
    /// passing: near the quota they are read again, at most so often and only when the customer asks.
    void refresh(CustomerId id, Customer &cons) {
        const Plan &plan = planOf(cons.plan);
        if (!limitsRate(plan) || cons.refilled > kNearQuota * plan.burst) return;
        Count &current = cons.units.current, &past = cons.units.previous;
        const Duration length = windowOf(plan);
        if (now - current.heardAt > kRefresh) report(id, Meaning::units, current, length, Ask::read);
        if (past.heard && past.heardFor < length) report(id, Meaning::units, past, length, Ask::read);
    }

    void reportAll(CustomerId id, Customer &cons, Ask ask = Ask::pass) {
        const Duration length = windowOf(planOf(cons.plan));
        for (auto at : {&Pair::current, &Pair::previous}) {
            report(id, Meaning::units, cons.units.*at, length, ask);
            report(id, Meaning::open, cons.open.*at, kOpenEpoch, ask);
        }
    }

    void on(const AddToCountEnded &sum) {
        const auto found = countCalls.find(sum.name);
        if (found == countCalls.end()) return;
        const auto [id, meaning, index] = found->second;
        countCalls.erase(found);
        const bool ok = sum.outcome == Outcome::answered;
        learnPace(ok || sum.outcome == Outcome::errored, sum.latency);
        const auto customer = customers.find(id);
        if (customer == customers.end()) return;
        Customer &cons = customer->second;
        Count *count = (meaning == Meaning::units ? cons.units : cons.open).at(index);
        if (count == nullptr) return;
        const double added = std::exchange(count->calling, 0);
        count->callOut = false;
        if (ok) {
            // Answers come in call order: an add of unknown fate is in this total if it ever arrived.
            count->confirmed += added + std::exchange(count->unknown, 0);
            // A total below our own part has lost counts: what we know of counts until the window turns.
            count->total = std::max(sum.total, count->confirmed);
            count->heard = true;
            count->heardAt = now;
            if (meaning == Meaning::units) {
                turn(id, cons);
                const Duration length = windowOf(planOf(cons.plan));
                const bool running = count == &cons.units.current;
                count->heardFor = running ? phased(id, length) % length : length;
                cons.refilled -= count->others() - count->booked - cons.guessed;
                count->booked = count->others();
                const Count &current = cons.units.current, &previous = cons.units.previous;
                const double known = std::max(ms(current.heardFor + previous.heardFor), ms(length) / 4);
                const double others = (current.others() + previous.others()) / known;
                cons.othersPerMs = std::min(others, planOf(cons.plan).rate / 1000);
                cons.known = true;
                cons.guessed = 0;
            }
        } else if (sum.outcome == Outcome::overloaded || sum.outcome == Outcome::connectFailed) {
            count->unsent += added;
            count->due = true;
        } else {
            count->unknown += added;
        }
        if (meaning == Meaning::open && count == &cons.open.current) decideHeld(cons, ok, count->total);
        if (!ok || !(cons.units.current.callOut || cons.units.previous.callOut)) decideAsking(id, cons);
        reportAll(id, cons);
    }

    bool trusted() const {
        return facts.mayUseCounter && (!countFailing || now - countOkAt < 4 * facts.counterTimeout);
    }

    /// Paced by what the counter takes: it works on calls that nobody waits for too, so that too many bring
    /// less. Holds against a slow, full, silent or refusing counter and against very many gateways.
    double part(double ofAll) const { return ofAll / facts.gatewayCount; }
    /// However many gateways there are, each sees within a second or so that the counter is back.
    double leastCalls() const { return std::max(kLookAgain, part(kCallsLeast)); }
    double atOnce() const { return std::max(4.0, part(kCallsAtOnce)); }

    bool mayCall(double spare, double spent = 1) {
        callsLeft = std::min(atOnce(), callsLeft + callsASecond * ms(now - pacedAt) / 1000);
        pacedAt = now;
        return callsLeft >= spare && (callsLeft -= spent, true);
    }

    void learnPace(bool ok, Duration latency) {
        countFailing = !ok;
        if (ok) countOkAt = now;
        if (ok && 4 * latency < facts.counterTimeout) {
            callsASecond = callsASecond + part(kCallsMore) / callsASecond;
        } else if ((!ok || 2 * latency > facts.counterTimeout) && now - paceCutAt > facts.counterTimeout) {
            callsASecond = std::max(leastCalls(), callsASecond * kCallsCut);
            callsLeft = std::min(callsLeft, 1.0);
            paceCutAt = now;
        }
    }

    // ---- 5: guards for ceilings and open caps ----

    /// Each gateway owns an even part, empty at its start: a restart can't refill what it had spent.
    bool underCeiling(Customer &cons, double units) {
        const Plan &plan = planOf(cons.plan);
        if (plan.ceilingRate <= 0) return true;
        const double filled = plan.ceilingRate / cons.gateways * ms(now - cons.ceilingAt) / 1000;
        cons.ceilingLeft = std::min(plan.ceilingBurst / cons.gateways, cons.ceilingLeft + filled);
        cons.ceilingAt = now;
        return cons.ceilingLeft >= units;
    }

    /// An even part of the cap; a part under one is kept by rests, as one each would be far too many.
    unsigned openShare(const Customer &cons) const {
        return now < cons.openRest ? 0 : std::max(1u, planOf(cons.plan).openCap / cons.gateways);
    }

    bool nearCap(const Customer &cons) const {
        return cons.fullAt != Timestamp{} && now - cons.fullAt < kFullFor;
    }

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
        const double cap = planOf(cons.plan).openCap, most = ok ? cap : openShare(cons);
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
            } else {
                countOpen(rq, -1);
                if (!rq.closed) rateLimit(id, rq.route);
                calls.erase(id);
            }
        }
    }

    /// Before its first reply a gateway may pass a share of the limit, one call at least: in a large set that
    /// is a multiple of the limit. Where the share is under this call, and no total of either window is
    /// known, the call waits for the totals once, as an isolate does for its first read; then the cache
    /// decides.
    bool asksFirst(const Customer &cons, const CallReceived &rq) const {
        const Plan &plan = planOf(rq.plan);
        const bool cold = !cons.units.current.heard && !cons.units.previous.heard;
        return limitsRate(plan) && plan.openCap == 0 && cold && plan.burst / cons.gateways < 1 && trusted() &&
               rq.timeRemaining > 4 * facts.counterTimeout;
    }

    void ask(CustomerId id, Customer &cons, Call &rq) {
        const Duration length = windowOf(planOf(cons.plan));
        cons.asking.push_back(rq.call);
        rq.held = true;
        cons.units.current.unsent += rq.units;
        cons.units.current.due = true;
        report(id, Meaning::units, cons.units.current, length, Ask::first);
        if (!cons.units.current.callOut) return decideAsking(id, cons);
        report(id, Meaning::units, cons.units.previous, length, Ask::read);
    }

    void decideAsking(CustomerId id, Customer &cons) {
        const auto asking = std::exchange(cons.asking, {});
        if (asking.empty()) return;
        for (const CallId one : asking) cons.units.current.unsent -= calls.at(one).units;
        cons.units.current.due = true;
        for (const CallId one : asking) {
            Call &rq = calls.at(one);
            rq.held = false;
            if (!rq.closed && admits(id, cons, rq.units)) {
                start(one, rq, cons);
            } else {
                if (!rq.closed) rateLimit(one, rq.route);
                calls.erase(one);
            }
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

    void on(const CallReceived &taken) {
        if (calls.contains(taken.call)) return;
        if (taken.route.value >= routes.size()) return actions.push_back(AnswerErrored{taken.call});
        Customer &cons = customerOf(taken);
        turn(taken.customer, cons);
        const bool asks = asksFirst(cons, taken);
        if ((!asks && !admits(taken.customer, cons, taken.units)) || !underCap(taken.customer, cons) ||
            !underCeiling(cons, taken.units)) {
            rateLimit(taken.call, taken.route);
            refresh(taken.customer, cons);
            return;
        }
        Call &rq = calls[taken.call] = {taken, now, now + taken.timeRemaining};
        if (asks) return ask(taken.customer, cons, rq);
        // With the cap lately full any cache is too old: the try is counted first and held for the answer. So
        // is a total older than a try lasts, where an even share of the cap would be under one.
        const Count &open = cons.open.current;
        const bool old = planOf(rq.plan).openCap < cons.gateways && ms(now - open.heardAt) > usual;
        rq.held = planOf(rq.plan).openCap > 0 && (nearCap(cons) || old) && trusted() &&
                  taken.timeRemaining > 4 * facts.counterTimeout;
        if (!rq.held) return start(taken.call, rq, cons);
        list(taken.customer, cons);
        cons.held.push_back(taken.call);
        countOpen(rq, 1);
        if (!cons.open.current.callOut) decideHeld(cons, false, 0);
    }

    void start(CallId id, Call &rq, Customer &cons) {
        worths.add(worthOf(rq));
        const auto worker = underCeiling(cons, rq.units) ? pick(rq) : std::nullopt;
        if (!worker) {
            if (rq.held) countOpen(rq, -1);
            return finish(id, rq);
        }
        cons.ceilingLeft -= rq.units;
        send(id, rq, *worker);
        if (!limitsRate(planOf(cons.plan))) return;
        cons.refilled -= rq.units;
        cons.units.current.unsent += rq.units;
        cons.units.current.due = true;
        report(rq.customer, Meaning::units, cons.units.current, windowOf(planOf(cons.plan)));
        refresh(rq.customer, cons);
    }

    void send(CallId id, Call &rq, WorkerId to) {
        Worker &worker = workers.at(to);
        ++worker.out;
        ++rq.tries;
        sendGaps.add(ms(now - std::exchange(sentLast, now)));
        rq.out = true;
        rq.calledOff = false;
        rq.worker = to;
        rq.sentAt = now;
        actions.push_back(SendTry{id, to, rq.until});
        if (!std::exchange(rq.held, false)) countOpen(rq, 1);
    }

    void on(const TryEnded &ended) {
        const auto at = workers.find(ended.worker);
        if (at != workers.end()) learn(at->second, ended);
        const auto found = calls.find(ended.call);
        if (found == calls.end() || !found->second.out) return;
        Call &rq = found->second;
        rq.out = false;
        const bool neverRan = ended.outcome == Outcome::overloaded ||
                              ended.outcome == Outcome::connectFailed || ended.outcome == Outcome::notSent;
        if (at != workers.end()) at->second.out = std::max(0, at->second.out - 1);
        if (at != workers.end() && !neverRan && !std::exchange(rq.mayHaveRun, true)) {
            rq.maybeRanFrom = rq.sentAt;
            rq.maybeRanAt = at->second.entry;
        }
        countOpen(rq, -1);
        if (ended.actualUnits) settle(rq, *ended.actualUnits - rq.units);
        if (!rq.closed && !ended.isCallClosed) line.push_back(ended.call);
        if (rq.closed || ended.isCallClosed) calls.erase(found);
        serveLine();
    }

    /// Guessed units are put right in the estimate at once, and at the counter with the next add.
    void settle(const Call &rq, double more) {
        const auto found = customers.find(rq.customer);
        if (found == customers.end() || !limitsRate(planOf(rq.plan))) return;
        turn(rq.customer, found->second);
        found->second.refilled -= more;
        found->second.units.current.unsent += more;
    }

    void on(const TryStreamStarted &flowing) {  // the stream is the client's: no call off, no answer
        if (const auto found = calls.find(flowing.call); found != calls.end()) found->second.closed = true;
    }

    void on(const CallAbandoned &gone) {
        const auto found = calls.find(gone.call);
        if (found == calls.end() || std::exchange(found->second.closed, true)) return;
        const Call &rq = found->second;
        const auto last = static_cast<std::uint8_t>(rq.tries - 1);
        if (rq.out && facts.mayCancel) actions.push_back(CancelTry{gone.call, {last}});
        if (!rq.out && !rq.held) calls.erase(found);
    }

    /// The final answer, given as soon as nothing more will be tried.
    void finish(CallId id, const Call &rq) {
        const RouteRow &row = routes[rq.route.value];
        const bool anywhere = row.effect == Effect::idempotent || row.dedupScope == DedupScope::all;
        const bool harmless = mayRunAgain(rq) && (!rq.mayHaveRun || anywhere);
        harmless ? rateLimit(id, rq.route) : actions.push_back(AnswerErrored{id});
        calls.erase(id);
    }

    // ---- 4: the line of further tries ----

    /// What no worker has seen is given up in the first half of its time: later it costs the client more.
    bool mayTryAgain(const Call &rq) const {
        const Timestamp latest =
            rq.mayHaveRun ? rq.until - 2 * kTick : rq.taken + rq.timeRemaining / 2 - 2 * kTick;
        return rq.tries < facts.maxTries && mayRunAgain(rq) &&
               now < std::min(rq.taken + routes[rq.route.value].latencyTarget, latest);
    }

    bool mayRunAgain(const Call &rq) const {
        const RouteRow &row = routes[rq.route.value];
        const bool dropped = row.effect == Effect::tokened && now < rq.maybeRanFrom + row.dedupWindow;
        return !rq.mayHaveRun || row.effect == Effect::idempotent || dropped;
    }

    bool once(const Call &rq) const { return routes[rq.route.value].effect == Effect::nonIdempotent; }

    bool inScope(const Call &rq, const Worker &worker) const {
        const RouteRow &row = routes[rq.route.value];
        if (!rq.mayHaveRun || row.effect != Effect::tokened || row.dedupScope == DedupScope::all) return true;
        return row.dedupScope == DedupScope::zone ? worker.entry.zone == rq.maybeRanAt.zone
                                                  : worker.entry.group == rq.maybeRanAt.group;
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
            } else if (const auto worker = pick(rq)) {
                send(id, rq, *worker);
            } else {
                line.push_back(id);
            }
        }
    }

    // ---- 1: ranked fill ----

    /// Where workers are pressed the calls that earn less for the time they take give way first.
    double worthOf(const Call &rq) const {
        const RouteRow &row = routes[rq.route.value];
        return row.billedValue * planOf(rq.plan).price / row.work.mean(kLateAt * ms(row.latencyTarget));
    }

    std::optional<WorkerId> pick(const Call &rq) {
        if (orderOld) rerank();
        // By chance, so that calls which give way keep that part of the others' odds, however long it lasts.
        const double part = chance() < std::max(kCheapPart, worthOf(rq) / worths.mean(1)) ? 1 : kCheapPart;
        for (const bool beyondShare : {false, true}) {
            for (const Worker *worker : ranked) {
                const WorkerId id = worker->entry.worker;
                const Timestamp barred =
                    std::max(worker->barredUntil, worker->health[rq.route.value].barredUntil);
                if (now < barred) continue;
                if (!beyondShare && worker->out >= worker->share) continue;
                const bool again = rq.tries > 0 && rq.worker == id && ranked.size() > 1;
                const bool trial = onTrial(*worker, rq.route);
                if (again || (trial && once(rq) && now < barred + kBack) || !inScope(rq, *worker)) continue;
                // A limit under one is kept by rests: so many gateways with one try each would be too many.
                const double limit = std::min(trial ? 1 : limitOf(*worker), coldLimit(*worker)) * part;
                const double rest = (1 / std::max(1e-3, limit) - 1) * usual;
                const bool rested = worker->endedAt == Timestamp{} || ms(now - worker->endedAt) >= rest;
                if (worker->out < limit && rested) return id;
            }
        }
        return std::nullopt;
    }

    /// Each gateway has an order of its own, its zone first, and uses about as many workers as it makes
    /// sends a second: so it hears of each often, and all parts together cover the fleet.
    void reorder() {
        order.clear();
        for (auto &[id, worker] : workers)
            if (worker.entry.state == WorkerState::ready) order.push_back(&worker);
        const auto place = [this](const Worker *worker) {
            const std::uint64_t own = mixed(mixed(facts.gatewayIndex.value + 1) ^ worker->entry.worker.value);
            return std::pair(worker->entry.zone != facts.zone, own);
        };
        std::ranges::stable_sort(order, {}, place);
        rerank();
    }

    double wanted() const { return std::max(kFewest, 1000 / std::max(1e-3, sendGaps.mean(1000))); }

    /// Of a warm worker. As most of the fleet turns cold each of the others gets more gateways at once, so a
    /// limit is kept as that of all together.
    double users() const { return facts.gatewayCount * std::min(1.0, wanted() / std::max<double>(1, warm)); }

    double limitOf(const Worker &worker) const { return worker.limit / users(); }

    void rerank() {
        ranked.clear();
        std::size_t well = 0;
        warm = std::ranges::count_if(order, [this](const Worker *worker) { return !cold(*worker); });
        const double most = wanted();
        for (Worker *worker : order) {
            const bool turn = cold(*worker) && coldLimit(*worker) >= 1;
            if (static_cast<double>(well) >= most && !turn) continue;
            ranked.push_back(worker);
            well +=
                now >= worker->barredUntil && !cold(*worker) && std::ranges::none_of(worker->health, failing);
            const double slow = std::clamp(worker->slowness.mean(1), 0.25, 4.0);
            worker->key = slow * (1 + worker->out) + (worker->entry.zone == facts.zone ? 0 : kCrossing);
            worker->share = worker->out + 1;
        }
        for (std::size_t at = 0; at < routes.size(); ++at) {
            const auto fails = [at](const Worker *worker) { return failing(worker->health[at]); };
            routes[at].commonFailure = 4 * std::ranges::count_if(ranked, fails) > 3 * std::ssize(ranked);
        }
        std::ranges::stable_sort(ranked, {}, &Worker::key);
        work = 0;
        for (const RouteRow &row : routes)
            work += row.work.mean(kLateAt * ms(row.latencyTarget)) / routes.size();
        usual = took.mean(work);
        orderOld = false;
    }

    void learnLimit(Worker &worker, double latency, double target) {
        if (latency > kLateAt * target) {
            if (ms(now - worker.limitCutAt) > kLateAt * target) {
                worker.limit = std::max(1.0, worker.limit * 0.7);
                worker.limitCutAt = now;
            }
        } else if (latency < kEasyAt * target && worker.out >= 0.7 * limitOf(worker)) {
            worker.limit += std::min(kLimitMore, users() / limitOf(worker));
        }
    }

    // ---- 2: health ----

    static bool failing(const Health &health) {
        return health.bad.size() >= kJudgedFrom && health.bad.mean(0) > kBadShare;
    }

    bool onTrial(const Worker &worker, RouteId route) const {
        return !routes[route.value].commonFailure && failing(worker.health[route.value]);
    }

    void learn(Worker &worker, const TryEnded &ended) {
        const auto found = calls.find(ended.call);
        if (found == calls.end()) return;
        const RouteId route = found->second.route;
        RouteRow &row = routes[route.value];
        Health &health = worker.health[route.value];
        const bool cut = ended.outcome == Outcome::connectFailed || ended.outcome == Outcome::reset;
        if (ended.outcome == Outcome::answered) {
            health.bad.add(0);
            worker.cuts = 0;
            worker.answered.add(ms(found->second.sentAt));
            row.latencies.add(ms(ended.latency));
            took.add(ms(ended.latency));
            row.work.add(std::min(ms(ended.latency), kLateAt * ms(row.latencyTarget)));
            worker.slowness.add(ms(ended.latency) / std::max(0.1, row.latencies.mean(1)));
            learnLimit(worker, ms(ended.latency), ms(row.latencyTarget));
        } else if (ended.outcome == Outcome::overloaded) {
            worker.limit = std::max(1.0, 0.7 * std::min(worker.limit, worker.out * users()));
            worker.barredUntil = std::max(worker.barredUntil, now + kBar / 2);
        } else if (cut || ended.outcome == Outcome::errored || ended.outcome == Outcome::timedOut) {
            health.bad.add(1);
            if (onTrial(worker, route)) health.barredUntil = now + kBar * std::llround(health.bad.sum());
            // One reset may be the connection's own end; a worker that is gone refuses, or resets in a row.
            worker.cuts += cut;
            if (worker.cuts > (ended.outcome == Outcome::connectFailed ? 0 : 1))
                worker.barredUntil = now + kBar * std::min(worker.cuts, 16);
        }
        // One that turned us away rests as well: else all gateways come back to its full line at once.
        const bool heard = ended.outcome == Outcome::answered || ended.outcome == Outcome::errored;
        if (heard || ended.outcome == Outcome::overloaded) worker.endedAt = now;
    }

    /// A connection can fall silent while its worker goes on. A try that the last answers there have
    /// overtaken, and that takes far too long for its size (up to the target if it may not run twice), is
    /// called off.
    void callOffOvertaken() {
        for (auto &[id, rq] : calls) {
            const auto at = workers.find(rq.worker);
            if (!facts.mayCancel || !rq.out || rq.calledOff || at == workers.end()) continue;
            const Duration target = routes[rq.route.value].latencyTarget;
            const double far = kFar * (1 + rq.units) * routes[rq.route.value].latencies.mean(ms(target));
            if (now - rq.sentAt < (once(rq) ? target : std::min(target, spanOf(far)))) continue;
            rq.calledOff = std::ranges::min(at->second.answered.samples) > ms(rq.sentAt);
            if (rq.calledOff) actions.push_back(CancelTry{id, {static_cast<std::uint8_t>(rq.tries - 1)}});
        }
    }

    // ---- 3: warm-up ----

    bool cold(const Worker &worker) const {
        return worker.entry.startedAt != Timestamp{} && now - worker.entry.startedAt < facts.warmUp;
    }

    /// A cold worker ends no more than it can do, so what is out bounds what is sent: all gateways together
    /// may have (multiple - 1) x capacity x span of work out, as if for a single core. Where an even part is
    /// under one try they take turns by number, a span each, with half of it, as two turns touch any span.
    double coldLimit(const Worker &worker) const {
        if (!cold(worker)) return limitOf(worker);
        const double part = std::max(0.0, ms(now - worker.entry.startedAt) / ms(facts.warmUp));
        const double capacity = facts.coldCapacityFraction + (1 - facts.coldCapacityFraction) * part;
        const double tries = (facts.coldOverloadFactor - 1) * capacity * ms(facts.coldOverloadWindow) / work;
        if (tries >= facts.gatewayCount || facts.gatewayCount < kTurnsFrom) {
            return std::max(1.0, std::floor(tries / facts.gatewayCount));
        }
        const auto turn = static_cast<std::uint64_t>(now / std::max(Duration{1}, facts.coldOverloadWindow));
        const auto width = static_cast<std::uint64_t>(std::max(1.0, tries / 2));
        const auto place = facts.gatewayIndex.value + mixed(worker.entry.worker.value) + turn * width;
        return place % facts.gatewayCount < width ? 1 : 0;
    }

    // ---- the list of workers, timers, and what this version has no use for ----

    void on(const WorkerListUpdated &news) {
        if (news.kind == WorkerListKind::failed) return;
        for (auto &[id, worker] : workers)
            if (news.kind != WorkerListKind::delta) worker.entry.state = WorkerState::gone;
        for (const WorkerEntry &entry : news.workers) {
            Worker &worker = workers[entry.worker];
            // Another process: nothing learned of the last one holds.
            if (worker.entry.startedAt != entry.startedAt) worker = {.out = worker.out};
            worker.entry = entry;
            worker.health.resize(routes.size());
        }
        std::erase_if(workers, [](const auto &one) { return one.second.left(); });
        reorder();
        for (auto &[id, worker] : workers)
            if (worker.slowness.size() == 0) worker.limit = kFirstLimit;
    }

    void on(const TimerFired &fired) {
        if (fired.token != kTickToken) return;
        actions.push_back(SetTimer{now + kTick, kTickToken});
        orderOld = true;
        callOffOvertaken();
        if (!line.empty()) serveLine();
        std::vector<CustomerId> late;
        // Whatever keeps the counter's answer away, none waits for it longer than the counter may take.
        for (const auto &[id, rq] : calls)
            if (rq.held && now - rq.taken > 2 * facts.counterTimeout) late.push_back(rq.customer);
        for (const CustomerId id : late) {
            decideHeld(customers.at(id), false, 0);
            decideAsking(id, customers.at(id));
        }
        serveDue();
        dropIdle();
    }

    /// Counts that wait for a call, the most telling of a part of the line first. Where the counter takes
    /// less than is passed the line would grow for as long as that lasts, and with it each tick: so a tick
    /// looks at a part, and what no estimate reads any more leaves.
    void serveDue() {
        mayCall(0, 0);
        std::vector<std::pair<double, CustomerId>> looked;
        for (std::size_t left = std::min(due.size(), kDueLooked); left > 0; --left) {
            const CustomerId id = due.front();
            due.pop_front();
            Customer &cons = customers.at(id);
            cons.listed = owes(id, cons);
            if (cons.listed) looked.emplace_back(-urgency(id), id);
        }
        std::ranges::stable_sort(looked, {}, [](const auto &one) { return one.first; });
        for (const auto &[urgent, id] : looked) {
            Customer &cons = customers.at(id);
            // Short of calls half way it lists itself: twice in the line, it would outlive its customer
            // there.
            cons.listed = !mayCall(1, 0);
            cons.listed ? due.push_back(id) : reportAll(id, cons, Ask::turn);
            if (!cons.held.empty()) list(id, cons);
        }
    }

    bool owes(CustomerId id, Customer &cons) {
        turn(id, cons);
        cons.open.turnTo(phased(id, kOpenEpoch) / kOpenEpoch);
        return !cons.held.empty() || cons.units.current.due || cons.units.previous.due ||
               cons.open.current.due || cons.open.previous.due;
    }

    /// Each customer is looked at about once in a hundred ticks; a ceiling's share that had time to fill is
    /// new.
    void dropIdle() {
        for (std::size_t left = 1 + customers.size() / 100; left > 0 && !customers.empty(); --left) {
            const auto next = customers.upper_bound(lookedAt);
            const auto at = next == customers.end() ? customers.begin() : next;
            const Customer &cons = at->second;
            lookedAt = at->first;
            const Plan &plan = planOf(cons.plan);
            const double fills = plan.ceilingRate > 0 ? plan.ceilingBurst / plan.ceilingRate * 1000 : 0;
            const Duration kept = std::max(2 * windowOf(plan), spanOf(fills));
            const bool waits = cons.openHere > 0 || cons.listed || !cons.asking.empty();
            if (now - cons.seenAt > kept && !waits) customers.erase(at);
        }
    }

    void on(const auto &) {}  // this version neither probes nor talks to its peers
};

DecisionEngine::DecisionEngine(const EngineSettings &facts, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(facts, seed)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine &&) noexcept = default;
DecisionEngine &DecisionEngine::operator=(DecisionEngine &&) noexcept = default;

std::vector<Action> DecisionEngine::handle(Timestamp now, const Event &event) {
    return impl_->handle(now, event);
}

}  // namespace arrowstile
