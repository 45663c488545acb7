#include "fleet.hpp"

#include <algorithm>
#include <memory>

namespace arrowstile::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSpan = seconds(5);             // of the report
constexpr Duration kCell = seconds(1);             // of what could be served
constexpr double kTells = 50;                      // calls: fewer say nothing of a route or plan
constexpr Duration kTail = seconds(6);             // after the last arrival: longer than any client waits
constexpr Duration kNoticed = milliseconds(1500);  // clients go on coming to a dead gateway

struct Customer {
    std::uint64_t id = 0;
    unsigned plan = 0, first = 0;
    double store = 0;  // of a limiter that sees everything
    Timestamp filledAt{};
    int open = 0;
};

struct Wish {  // what a client wants, over all of its tries
    Timestamp first{};
    unsigned route = 0, tries = 0;
    std::size_t customer = 0;
    double units = 1, worth = 1;
    bool inside = false, served = false;
};

struct Call {
    std::shared_ptr<Wish> wish;
    unsigned gateway = 0;
    Timestamp sentAt{}, due{};
    bool over = false, taken = false;
    unsigned tries = 0;
    std::uint64_t attempt = 0;  // the try that is out, 0: none
    std::size_t node = 0;
};

struct Gateway {
    std::unique_ptr<DecisionEngine> keeper;
    unsigned life = 0;
    bool alive = false;
};

struct Machine {
    std::unique_ptr<Node> node;
    WorkerEntry entry;
    std::uint64_t wake = 0;
};

class Run {
public:
    Run(const Scenario &scenario, std::uint64_t seed)
        : s_(scenario), chance_(seed), counter_(scenario.counter) {}

    Report play() {
        build();
        for (const Fault &fault : s_.faults) {
            agenda_.at(start_ + fault.at, [this, fault] { begin(fault); });
            agenda_.at(start_ + fault.at + fault.length, [this, fault] { finish(fault); });
        }
        arrive();
        for (std::size_t at = 0; at < report_.fared.front().asked.size(); ++at)
            agenda_.at(start_ + kCell * (at + 1), [this, at] { weigh(at); });
        agenda_.run(start_ + s_.length + kTail);
        return report();
    }

private:
    // ---- the world at its start ----

    void build() {
        for (unsigned i = 0; i < s_.nodes; ++i) addNode(Timestamp{});
        gateways_.resize(s_.facts.gatewayCount);
        for (unsigned rank = 0; rank < s_.facts.gatewayCount; ++rank) startGateway(rank);
        for (unsigned plan = 0; plan < s_.plans.size(); ++plan) {
            byPlan_.emplace_back();
            for (unsigned i = 0; i < s_.plans[plan].customers; ++i) {
                byPlan_[plan].push_back(customers_.size());
                customers_.push_back({customers_.size() + 1, plan,
                                      static_cast<unsigned>(chance_.below(s_.facts.gatewayCount)),
                                      s_.facts.plans[plan].burst, start_, 0});
            }
            report_.plans.push_back({s_.plans[plan].name, 0, 0});
        }
        for (const RouteTraffic &route : s_.routes) report_.routes.push_back({route.name, 0, 0});
        const auto cells = static_cast<std::size_t>((s_.length + kCell - Duration{1}) / kCell);
        const std::vector<double> none(cells, 0);
        for (const RouteTraffic &route : s_.routes)
            report_.fared.push_back({"route " + route.name, none, none, none});
        for (const PlanTraffic &plan : s_.plans)
            report_.fared.push_back({"plan " + plan.name, none, none, none});
        workAsked_ = none;
        for (Timestamp at{}; at < s_.length; at += kSpan)
            report_.spans.push_back({std::to_string(at / seconds(1)) + " s", 0, 0});
    }

    /// A policy that sees everything would serve all groups alike what the nodes can do.
    void weigh(std::size_t cell) {
        double able = 0;
        for (const Machine &machine : nodes_) able += machine.node->able(agenda_.now()) * inMs(kCell);
        const double part = workAsked_[cell] > able ? able / workAsked_[cell] : 1;
        for (Fared &group : report_.fared) group.could[cell] = part * group.asked[cell];
    }

    /// A call within quotas that was asked, or served in time, in its route's and its plan's count.
    void count(const Wish &wish, std::vector<double> Fared::*what) {
        const auto cell =
            std::min(workAsked_.size() - 1, static_cast<std::size_t>((wish.first - start_) / kCell));
        (report_.fared[wish.route].*what)[cell] += 1;
        (report_.fared[s_.routes.size() + customers_[wish.customer].plan].*what)[cell] += 1;
        if (what == &Fared::asked) workAsked_[cell] += s_.routes[wish.route].workMs;
    }

    std::size_t addNode(Timestamp startedAt) {
        const auto number = static_cast<std::uint32_t>(nodes_.size() + 1);
        Machine made;
        made.node = std::make_unique<Node>(
            s_.node, startedAt == Timestamp{} ? Timestamp{-s_.node.warmUp} : startedAt, chance_.number());
        made.entry = {WorkerId{number},
                      s_.facts.zone,
                      {},
                      WorkerGroupId{static_cast<std::uint16_t>(number)},
                      WorkerState::ready,
                      1,
                      startedAt};
        nodes_.push_back(std::move(made));
        return nodes_.size() - 1;
    }

    WorkerListUpdated wholeList(WorkerListKind how) const {
        WorkerListUpdated list{how, 1, {}};
        for (const Machine &one : nodes_)
            if (one.entry.state != WorkerState::gone) list.workers.push_back(one.entry);
        return list;
    }

    void startGateway(unsigned rank) {
        Gateway &gateway = gateways_[rank];
        EngineSettings facts = s_.facts;
        facts.gatewayIndex.value = rank;
        gateway.keeper = std::make_unique<DecisionEngine>(facts, chance_.number());
        ++gateway.life;
        gateway.alive = true;
        tell(rank, wholeList(WorkerListKind::snapshot));
    }

    // ---- gateways ----

    void tell(unsigned rank, const Event &event) {
        if (!gateways_[rank].alive) return;
        for (const Action &action : gateways_[rank].keeper->handle(agenda_.now(), event))
            std::visit([&](const auto &what) { carry(rank, what); }, action);
    }

    /// Events on their way to a gateway are lost with its life.
    void later(unsigned rank, Duration after, Event event) {
        agenda_.at(agenda_.now() + after,
                   [this, rank, life = gateways_[rank].life, event = std::move(event)] {
                       if (gateways_[rank].life == life) tell(rank, event);
                   });
    }

    void carry(unsigned rank, const SetTimer &what) {
        agenda_.at(what.due, [this, rank, life = gateways_[rank].life, token = what.token] {
            if (gateways_[rank].life == life) tell(rank, TimerFired{token});
        });
    }

    void carry(unsigned rank, const AddToCount &what) {
        const unsigned life = gateways_[rank].life;
        const Timestamp sent = agenda_.now();
        const Duration wait = std::max(what.timeout, s_.facts.counterTimeout);
        agenda_.at(sent + s_.oneWay, [this, rank, life, what, sent, wait] {
            const Counted done = counter_.add(agenda_.now(), what.name, what.amount, what.lifetime);
            const bool inTime = done.answered && done.at + s_.oneWay <= sent + wait;
            const Timestamp heard = inTime ? done.at + s_.oneWay : sent + wait;
            const Outcome outcome = !inTime      ? Outcome::timedOut
                                    : done.added ? Outcome::answered
                                                 : Outcome::overloaded;
            agenda_.at(heard, [this, rank, life, what, outcome, total = done.total, took = heard - sent] {
                if (gateways_[rank].life == life)
                    tell(rank, AddToCountEnded{what.name, outcome, total, took});
            });
        });
    }

    void carry(unsigned, const AnswerRateLimited &what) { answer(what.call, false, true, what.retryAfter); }
    void carry(unsigned, const AnswerErrored &what) { answer(what.call, false, false, {}); }
    void carry(unsigned, const auto &) {}

    void carry(unsigned rank, const SendTry &what) {
        Call &call = calls_.at(what.call.value);
        const std::uint64_t attempt = ++lastAttempt_;
        const TryNumber number{static_cast<std::uint8_t>(call.tries++)};
        call.attempt = attempt;
        call.node = what.worker.value - 1;
        ++report_.triesSent;
        note(Step::sent, rank, what.call.value, what.worker.value);
        attempts_[attempt] = {what.call.value, rank,          number,
                              what.worker,     agenda_.now(), gateways_[rank].life};
        Wish &wish = *call.wish;
        if (number.value == 0) spend(wish);
        const RouteTraffic &route = s_.routes[wish.route];
        const Route &facts = s_.facts.routes[wish.route];
        const Job job{JobId{attempt}, what.call.value, chance_.exponential(route.workMs),
                      facts.effect == Effect::tokened, facts.dedupWindow};
        ++customers_[wish.customer].open;
        Timestamp comesUp{};
        if (connectsLate_ > 0 && call.node < lateNodes_) comesUp = fromMs(chance_.part() * connectsLate_);
        if (comesUp > s_.facts.connectTimeout)
            agenda_.at(agenda_.now() + s_.facts.connectTimeout,
                       [this, attempt] { tryOver(attempt, Outcome::connectFailed, {}); });
        else
            agenda_.at(agenda_.now() + comesUp + s_.oneWay,
                       [this, at = call.node, job] { arriveAt(at, job); });
        agenda_.at(std::max(what.deadline, agenda_.now()), [this, attempt, at = call.node] {
            if (attempts_.contains(attempt)) nodes_[at].node->callOff(JobId{attempt});
            tryOver(attempt, Outcome::timedOut, {});
        });
    }

    void carry(unsigned, const CancelTry &what) {
        const auto call = calls_.find(what.call.value);
        if (call == calls_.end() || call->second.attempt == 0) return;
        const std::uint64_t attempt = call->second.attempt;
        nodes_[call->second.node].node->callOff(JobId{attempt});
        agenda_.at(agenda_.now(), [this, attempt] { tryOver(attempt, Outcome::cancelled, {}); });
    }

    /// The one outcome of a try; whatever comes of it later is dropped.
    void tryOver(std::uint64_t attempt, Outcome outcome, std::optional<unsigned> queue) {
        const auto found = attempts_.find(attempt);
        if (found == attempts_.end()) return;
        const Attempt one = found->second;
        attempts_.erase(found);
        Call &call = calls_.at(one.call);
        call.attempt = 0;
        --customers_[call.wish->customer].open;
        note(Step::tryEnded, one.gateway, one.call, one.worker.value);
        if (call.gateway != one.gateway || gateways_[one.gateway].life != one.life) return;
        const bool good = outcome == Outcome::answered;
        TryEnded event{CallId{one.call},  one.number, one.worker, outcome, agenda_.now() - one.sentAt,
                       good || call.over, {},         {},         {}};
        if (queue) event.load = {static_cast<double>(*queue)};
        if (good && !call.over) answer(CallId{one.call}, true, false, {});
        tell(one.gateway, event);
    }

    // ---- nodes ----

    void arriveAt(std::size_t at, const Job &job) {
        Machine &machine = nodes_[at];
        const auto attempt = attempts_.find(job.id.value);
        if (attempt == attempts_.end()) return;  // given up on its way
        if (!machine.node->alive()) return back(job.id, Outcome::connectFailed, {});
        if (machine.node->isSilent()) return;
        const auto turned = machine.node->offer(agenda_.now(), job);
        report_.worstPush = std::max(report_.worstPush, machine.node->worstPush());
        if (turned) return back(job.id, Outcome::overloaded, turned->queue);
        if (!machine.node->alive()) return lost(at);
        wake(at);
    }

    void back(JobId id, Outcome outcome, std::optional<unsigned> queue) {
        agenda_.at(agenda_.now() + s_.oneWay,
                   [this, id, outcome, queue] { tryOver(id.value, outcome, queue); });
    }

    void wake(std::size_t at) {
        const auto next = nodes_[at].node->next();
        const std::uint64_t turn = ++nodes_[at].wake;
        if (!next) return;
        agenda_.at(std::max(*next, agenda_.now()), [this, at, turn] {
            Machine &machine = nodes_[at];
            if (machine.wake != turn) return;
            for (const Ended &done : machine.node->ended(agenda_.now())) {
                const auto found = attempts_.find(done.id.value);
                if (done.ran)
                    note(Step::ran, 0, found != attempts_.end() ? found->second.call : callOf_[done.id.value],
                         machine.entry.worker.value);
                const bool good = done.fate == Fate::answered && chance_.part() >= spoilt_;
                const Outcome outcome = good ? Outcome::answered : Outcome::errored;
                if (!machine.node->isSilent()) back(done.id, outcome, done.queue);
            }
            wake(at);
        });
    }

    /// What was out there breaks off; connections tell so at once.
    void lost(std::size_t at) {
        std::vector<std::uint64_t> out;
        for (const auto &[attempt, one] : attempts_)
            if (one.worker.value == at + 1) out.push_back(attempt);
        for (const std::uint64_t attempt : out) back(JobId{attempt}, Outcome::reset, {});
        gone(at);
    }

    void gone(std::size_t at) { change(at, WorkerState::gone); }

    void change(std::size_t at, WorkerState state) {
        nodes_[at].entry.state = state;
        const WorkerListUpdated news{WorkerListKind::delta, 1, {nodes_[at].entry}};
        const unsigned late = lateGateways_;
        const auto hear = [this, news, at, state](unsigned from, unsigned to) {
            for (unsigned rank = from; rank < to; ++rank) {
                if (!gateways_[rank].alive) continue;
                if (state != WorkerState::ready) note(Step::told, rank, 0, at + 1);
                tell(rank, news);
            }
        };
        if (late > 0)
            agenda_.at(agenda_.now() + s_.listLate + fromMs(listsLate_), [hear, late] { hear(0, late); });
        agenda_.at(agenda_.now() + s_.listLate,
                   [this, hear, late] { hear(late, static_cast<unsigned>(gateways_.size())); });
    }

    // ---- faults ----

    template <class Act>
    void some(double part, std::size_t count, Act act) {
        for (std::size_t i = 0; i < partOf(part, count); ++i) act(i);
    }
    static std::size_t partOf(double part, std::size_t count) {
        return static_cast<std::size_t>(part * static_cast<double>(count) + 0.5);
    }

    void begin(const Fault &fault) {
        const std::size_t first = s_.nodes;  // those there at the start
        switch (fault.kind) {
            case FaultKind::counterRefuses: counter_.way(CounterWay::refuses); break;
            case FaultKind::counterSilent: counter_.way(CounterWay::silent); break;
            case FaultKind::counterSlow: counter_.slower(fault.size); break;
            case FaultKind::counterEmpty: counter_.empty(); break;
            case FaultKind::nodesCrash:
                some(fault.part, first, [this](std::size_t i) {
                    nodes_[i].node->die();
                    lost(i);
                });
                break;
            case FaultKind::nodesSilent:
                some(fault.part, first, [this](std::size_t i) { nodes_[i].node->silent(true); });
                break;
            case FaultKind::nodesSlow:
                some(fault.part, first, [&](std::size_t i) { nodes_[i].node->slower(fault.size); });
                break;
            case FaultKind::nodesFail:
                some(fault.part, first, [&](std::size_t i) { nodes_[i].node->failing(fault.size); });
                break;
            case FaultKind::nodesReplaced:
                some(fault.part, first, [&](std::size_t i) {
                    agenda_.at(agenda_.now() + fault.length * static_cast<std::int64_t>(i) /
                                                   std::max<std::int64_t>(
                                                       1, static_cast<std::int64_t>(fault.part * s_.nodes)),
                               [this, i] { replace(i); });
                });
                break;
            case FaultKind::gatewaysKilled:
                some(fault.part, gateways_.size(), [this](std::size_t i) { kill(static_cast<unsigned>(i)); });
                break;
            case FaultKind::listsLate:
                lateGateways_ = static_cast<unsigned>(partOf(fault.part, gateways_.size()));
                listsLate_ = fault.size;
                break;
            case FaultKind::connectsLate:
                lateNodes_ = partOf(fault.part, nodes_.size());
                connectsLate_ = fault.size;
                break;
            case FaultKind::answersSpoilt: spoilt_ = fault.size; break;
            case FaultKind::trafficJump: jump_ = fault.size; break;
        }
    }

    void finish(const Fault &fault) {
        switch (fault.kind) {
            case FaultKind::counterRefuses:
            case FaultKind::counterSilent: counter_.way(CounterWay::serves); break;
            case FaultKind::counterSlow: counter_.slower(1); break;
            case FaultKind::nodesCrash:
                some(fault.part, s_.nodes, [this](std::size_t) { come(addNode(agenda_.now())); });
                break;
            case FaultKind::nodesSilent:
                some(fault.part, s_.nodes, [this](std::size_t i) { nodes_[i].node->silent(false); });
                break;
            case FaultKind::nodesSlow:
                some(fault.part, s_.nodes, [this](std::size_t i) { nodes_[i].node->slower(1); });
                break;
            case FaultKind::nodesFail:
                some(fault.part, s_.nodes, [this](std::size_t i) { nodes_[i].node->failing(0); });
                break;
            case FaultKind::gatewaysKilled:
                some(fault.part, gateways_.size(),
                     [this](std::size_t i) { startGateway(static_cast<unsigned>(i)); });
                break;
            case FaultKind::listsLate: lateGateways_ = 0; break;
            case FaultKind::connectsLate: connectsLate_ = 0; break;
            case FaultKind::answersSpoilt: spoilt_ = 0; break;
            case FaultKind::trafficJump: jump_ = 1; break;
            case FaultKind::counterEmpty:
            case FaultKind::nodesReplaced: break;
        }
    }

    void come(std::size_t at) { change(at, WorkerState::ready); }

    void replace(std::size_t at) {
        nodes_[at].node->drain();
        change(at, WorkerState::draining);
        come(addNode(agenda_.now()));
        agenda_.at(agenda_.now() + seconds(5), [this, at] {
            nodes_[at].node->die();
            lost(at);
        });
    }

    void kill(unsigned rank) {
        gateways_[rank].alive = false;
        ++gateways_[rank].life;
        note(Step::gatewayDied, rank, 0, 0);
        std::vector<std::uint64_t> held;
        for (auto &[id, call] : calls_)
            if (call.gateway == rank && call.taken && !call.over) held.push_back(id);
        for (const std::uint64_t id : held) {
            calls_.at(id).over = true;
            ++report_.unanswered;
        }
    }

    // ---- clients ----

    /// Open-loop: arrivals do not wait for answers.
    void arrive() {
        const double gap = 1000 / (s_.callsASecond * jump_);
        const Timestamp next = agenda_.now() + fromMs(chance_.exponential(gap));
        if (std::max(next, start_) >= start_ + s_.length) return;
        agenda_.at(std::max(next, start_), [this] {
            auto wish = std::make_shared<Wish>();
            wish->first = agenda_.now();
            wish->route = pick(s_.routes);
            const unsigned plan = pick(s_.plans);
            const auto &its = byPlan_[plan];
            wish->customer = its[chance_.skewed(its.size(), s_.plans[plan].skew)];
            wish->units =
                1 + static_cast<double>(chance_.below(static_cast<std::size_t>(s_.plans[plan].mostUnits)));
            wish->worth = s_.facts.routes[wish->route].billedValue * s_.facts.plans[plan].price * wish->units;
            wish->inside = roomFor(*wish);
            ++report_.firstTries;
            if (wish->inside) {
                report_.routes[wish->route].asked += wish->worth;
                report_.plans[plan].asked += wish->worth;
                report_.spans[spanOf(wish->first)].asked += wish->worth;
                count(*wish, &Fared::asked);
            }
            come(wish);
            arrive();
        });
    }

    std::size_t spanOf(Timestamp at) const {
        return std::min(report_.spans.size() - 1, static_cast<std::size_t>((at - start_) / kSpan));
    }

    template <class Kinds>
    unsigned pick(const Kinds &kinds) {
        double all = 0;
        for (const auto &one : kinds) all += one.share;
        double at = chance_.part() * all;
        for (unsigned i = 0; i < kinds.size(); ++i)
            if ((at -= kinds[i].share) < 0) return i;
        return static_cast<unsigned>(kinds.size() - 1);
    }

    void come(const std::shared_ptr<Wish> &wish) {
        const Customer &customer = customers_[wish->customer];
        const unsigned rank = (customer.first + static_cast<unsigned>(chance_.skewed(s_.set, s_.uneven))) %
                              s_.facts.gatewayCount;
        const Duration left = wish->first + s_.facts.routes[wish->route].clientTimeout - agenda_.now();
        if (left <= 2 * s_.oneWay) return;
        const std::uint64_t id = ++lastCall_;
        ++wish->tries;
        ++report_.calls;
        calls_[id] = {wish, rank, agenda_.now(), agenda_.now() + left, false, false, 0, 0, 0};
        agenda_.at(agenda_.now() + s_.oneWay, [this, id, rank, left] {
            Call &call = calls_.at(id);
            if (!gateways_[rank].alive) {
                call.over = true;
                agenda_.at(agenda_.now() + kNoticed, [this, wish = call.wish] { again(wish, {}); });
                return;
            }
            const Wish &its = *call.wish;
            const Customer &who = customers_[its.customer];
            CallReceived taken;
            taken.call = {id};
            taken.route.value = static_cast<std::uint8_t>(its.route);
            taken.plan.value = static_cast<std::uint16_t>(who.plan);
            taken.customer = {who.id};
            taken.units = its.units;
            taken.gatewaySubsetSize = s_.set;
            taken.gatewaySubsetStart = who.first;
            taken.timeRemaining = left - s_.oneWay;
            taken.isClientRetry = its.tries > 1;
            call.taken = true;
            note(Step::taken, rank, id, 0, taken.timeRemaining,
                 s_.facts.routes[its.route].effect == Effect::nonIdempotent);
            tell(rank, taken);
        });
    }

    void again(const std::shared_ptr<Wish> &wish, std::optional<Duration> advice) {
        if (wish->served || wish->tries > s_.retries) return;
        const Duration wait = advice.value_or(milliseconds(100)) + fromMs(chance_.exponential(50));
        agenda_.at(agenda_.now() + wait, [this, wish] { come(wish); });
    }

    void answer(CallId id, bool served, bool refused, std::optional<Duration> advice) {
        const auto found = calls_.find(id.value);
        if (found == calls_.end()) return;
        Call &call = found->second;
        note(Step::answered, call.gateway, id.value, 0);
        call.over = true;
        Wish &wish = *call.wish;
        const Duration took = agenda_.now() + s_.oneWay - wish.first;
        if (served && took <= s_.facts.routes[wish.route].latencyTarget) {
            ++report_.served;
            report_.latenciesMs.push_back(inMs(took));
            if (wish.inside) {
                report_.routes[wish.route].served += wish.worth;
                report_.plans[customers_[wish.customer].plan].served += wish.worth;
                report_.spans[spanOf(wish.first)].served += wish.worth;
                count(wish, &Fared::served);
            }
        }
        if (served) {
            report_.late += took > s_.facts.routes[wish.route].latencyTarget;
            wish.served = true;
            return;
        }
        ++(refused ? report_.refused : report_.errored);
        if (refused && hasRoom(wish)) ++report_.refusedWithRoom;
        const Effect effect = s_.facts.routes[wish.route].effect;
        if (refused || effect == Effect::idempotent) again(call.wish, advice);
    }

    // ---- a limiter that sees everything ----

    void fill(Customer &customer) {
        const Plan &plan = s_.facts.plans[customer.plan];
        customer.store =
            std::min(plan.burst, customer.store + plan.rate * inMs(agenda_.now() - customer.filledAt) / 1000);
        customer.filledAt = agenda_.now();
    }

    bool hasRoom(const Wish &wish) {
        Customer &customer = customers_[wish.customer];
        fill(customer);
        const Plan &plan = s_.facts.plans[customer.plan];
        const bool rate = plan.rate <= 0 || customer.store >= wish.units;
        return rate && (plan.openCap == 0 || customer.open < static_cast<int>(plan.openCap));
    }

    /// What one limiter that saw all first tries would let in, whatever the gateways do.
    bool roomFor(const Wish &wish) {
        Customer &ideal = ideals_.try_emplace(wish.customer, customers_[wish.customer]).first->second;
        fill(ideal);
        if (s_.facts.plans[ideal.plan].rate <= 0) return true;
        if (ideal.store < wish.units) return false;
        ideal.store -= wish.units;
        return true;
    }

    void spend(const Wish &wish) {
        const bool room = hasRoom(wish);
        Customer &customer = customers_[wish.customer];
        report_.unitsSent += wish.units;
        if (!room) report_.unitsBeyond += wish.units;
        if (room && s_.facts.plans[customer.plan].rate > 0) customer.store -= wish.units;
    }

    // ---- the record and the report ----

    void note(Step step, unsigned gateway, std::uint64_t call, std::uint64_t node, Duration patience = {},
              bool once = false) {
        record_.push_back({agenda_.now(), step, gateway, call, node, patience, once});
        if (step == Step::sent) callOf_[lastAttempt_] = call;
    }

    Report report() {
        report_.broken = brokenRules(record_, {s_.facts.answerSlack, s_.facts.drainGrace}, agenda_.now());
        for (const Machine &machine : nodes_)
            if (machine.node->fell())
                report_.broken.push_back("cold nodes: node " + std::to_string(machine.entry.worker.value) +
                                         " fell over");
        if (s_.leastShare > 0) report_.starved = starved(report_.fared, s_.leastShare, kTells, kCell);
        report_.counterCalls = counter_.calls();
        report_.counterTurnedAway = counter_.turnedAway();
        report_.events = agenda_.done();
        std::ranges::sort(report_.latenciesMs);
        return std::move(report_);
    }

    struct Attempt {
        std::uint64_t call = 0;
        unsigned gateway = 0;
        TryNumber number;
        WorkerId worker;
        Timestamp sentAt{};
        unsigned life = 0;
    };

    const Scenario &s_;
    Chance chance_;
    Counter counter_;
    Agenda agenda_;
    const Timestamp start_ = seconds(1);
    std::vector<Machine> nodes_;
    std::vector<Gateway> gateways_;
    std::vector<Customer> customers_;
    std::vector<std::vector<std::size_t>> byPlan_;
    std::map<std::size_t, Customer> ideals_;
    std::map<std::uint64_t, Call> calls_;
    std::map<std::uint64_t, Attempt> attempts_;
    std::map<std::uint64_t, std::uint64_t> callOf_;
    std::uint64_t lastCall_ = 0, lastAttempt_ = 0;
    double jump_ = 1, spoilt_ = 0;
    double listsLate_ = 0, connectsLate_ = 0;  // milliseconds
    unsigned lateGateways_ = 0;
    std::size_t lateNodes_ = 0;
    std::vector<double> workAsked_;
    std::vector<Line> record_;
    Report report_;
};

}  // namespace

double Report::ratio() const {
    double asked = 0, got = 0;
    for (const Share &one : routes) {
        asked += one.asked;
        got += one.served;
    }
    return asked > 0 ? got / asked : 1;
}

Report play(const Scenario &scenario, std::uint64_t seed) { return Run(scenario, seed).play(); }

}  // namespace arrowstile::lab
