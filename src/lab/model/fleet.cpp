#include "fleet.hpp"

#include <algorithm>
#include <memory>

namespace arrowstile::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Length of the intervals of Report::intervals.
constexpr Duration kReportInterval = seconds(5);
/// Length of the intervals of GroupService.
constexpr Duration kServiceInterval = seconds(1);
/// Routes and plans with fewer achievable requests are too small to be checked for starvation.
constexpr double kMinStarvationRequests = 50;
/// How long a run goes on after the traffic has ended. Longer than the client timeouts of the shipped
/// scenarios.
constexpr Duration kSettleTime = seconds(6);
/// Clients keep sending calls to a killed gateway. A client detects after this time that its call has failed,
/// and retries.
constexpr Duration kDeadGatewayTimeout = milliseconds(1500);

/// A customer, with the bucket of its quota as the reference limiter keeps it.
struct Customer {
    std::uint64_t id = 0;
    unsigned plan = 0;
    unsigned subsetStart = 0;
    double level = 0;  // of the bucket, units
    Timestamp refilledAt{};
    int openTries = 0;  // over all gateways
};

/// A client's request. It is sent as a call, and as a further call for each of the client's retries.
struct ClientRequest {
    Timestamp startedAt{};
    unsigned route = 0;
    unsigned callCount = 0;
    std::size_t customer = 0;
    double units = 1;
    double value = 1;  // billed value if it is served
    bool isWithinQuota = false;
    bool isProxied = false;  // one of its calls was, in time or late
};

/// One sending of a client's request to a gateway.
struct Call {
    std::shared_ptr<ClientRequest> request;
    unsigned gateway = 0;
    Timestamp sentAt{};
    Timestamp deadline{};
    bool isOver = false;
    bool isReceived = false;  // by its gateway
    unsigned tryCount = 0;
    std::uint64_t openTry = 0;  // id of the try in flight; 0: none
    std::size_t node = 0;       // index of the node of the latest try
};

/// A gateway: its engine, and whether it runs.
struct Gateway {
    std::unique_ptr<DecisionEngine> engine;
    unsigned incarnation = 0;  // changes when the gateway starts and when it is killed
    bool isAlive = false;
};

/// A node and its entry in discovery's list.
struct FleetNode {
    std::unique_ptr<Node> node;
    WorkerEntry entry;
    std::uint64_t completionTimer = 0;  // number of the latest completion timer; earlier ones have no effect
};

/// One run of a scenario.
class Simulation {
public:
    Simulation(const Scenario &scenario, std::uint64_t seed)
        : scenario_(scenario), random_(seed), counter_(scenario.counter) {}

    Report run() {
        setUp();
        for (const Fault &fault : scenario_.faults) {
            events_.schedule(start_ + fault.startsAt, [this, fault] { beginFault(fault); });
            events_.schedule(start_ + fault.startsAt + fault.duration, [this, fault] { endFault(fault); });
        }
        scheduleNextArrival();
        for (std::size_t i = 0; i < report_.groups.front().requested.size(); ++i)
            events_.schedule(start_ + kServiceInterval * (i + 1), [this, i] { computeAchievable(i); });
        events_.runUntil(start_ + scenario_.duration + kSettleTime);
        return finishReport();
    }

private:
    // ---- Initial state ----

    void setUp() {
        for (unsigned i = 0; i < scenario_.nodeCount; ++i) addNode(Timestamp{});
        gateways_.resize(scenario_.settings.gatewayCount);
        for (unsigned gateway = 0; gateway < scenario_.settings.gatewayCount; ++gateway)
            startGateway(gateway);
        for (unsigned plan = 0; plan < scenario_.plans.size(); ++plan) {
            customersByPlan_.emplace_back();
            for (unsigned i = 0; i < scenario_.plans[plan].customerCount; ++i) {
                customersByPlan_[plan].push_back(customers_.size());
                customers_.push_back(
                    {customers_.size() + 1, plan,
                     static_cast<unsigned>(random_.drawIndex(scenario_.settings.gatewayCount)),
                     scenario_.settings.plans[plan].burst, start_, 0});
            }
            report_.plans.push_back({scenario_.plans[plan].name, 0, 0});
        }
        for (const RouteTraffic &route : scenario_.routes) report_.routes.push_back({route.name, 0, 0});
        const auto intervalCount = static_cast<std::size_t>(
            (scenario_.duration + kServiceInterval - Duration{1}) / kServiceInterval);
        const std::vector<double> zeros(intervalCount, 0);
        for (const RouteTraffic &route : scenario_.routes)
            report_.groups.push_back({"route " + route.name, zeros, zeros, zeros});
        for (const PlanTraffic &plan : scenario_.plans)
            report_.groups.push_back({"plan " + plan.name, zeros, zeros, zeros});
        requestedWorkMs_ = zeros;
        for (Timestamp at{}; at < scenario_.duration; at += kReportInterval)
            report_.intervals.push_back({std::to_string(at / seconds(1)) + " s", 0, 0});
    }

    /// Computes what an ideal policy would have served in the interval that has just ended. If the requests
    /// needed more work than the nodes can do, every group is served the same fraction of its requests, for
    /// which the nodes' capacity suffices. That capacity is taken at the end of the interval.
    void computeAchievable(std::size_t interval) {
        double availableMs = 0;
        for (const FleetNode &fleetNode : nodes_)
            availableMs += fleetNode.node->availableCapacity(events_.now()) * toMs(kServiceInterval);
        const double fraction =
            requestedWorkMs_[interval] > availableMs ? availableMs / requestedWorkMs_[interval] : 1;
        for (GroupService &group : report_.groups)
            group.achievable[interval] = fraction * group.requested[interval];
    }

    /// Adds a request within its quota to `series` (requested or served) of its route and its plan.
    void addToGroups(const ClientRequest &request, std::vector<double> GroupService::*series) {
        const auto interval =
            std::min(requestedWorkMs_.size() - 1,
                     static_cast<std::size_t>((request.startedAt - start_) / kServiceInterval));
        (report_.groups[request.route].*series)[interval] += 1;
        (report_.groups[scenario_.routes.size() + customers_[request.customer].plan].*series)[interval] += 1;
        if (series == &GroupService::requested)
            requestedWorkMs_[interval] += scenario_.routes[request.route].meanWorkMs;
    }

    /// Adds a node that starts at the given time; at time 0: one that is warm already. Returns its index.
    std::size_t addNode(Timestamp startedAt) {
        const auto number = static_cast<std::uint32_t>(nodes_.size() + 1);
        FleetNode added;
        added.node = std::make_unique<Node>(
            scenario_.node, startedAt == Timestamp{} ? Timestamp{-scenario_.node.warmUp} : startedAt,
            random_.drawSeed());
        added.entry = {WorkerId{number},
                       scenario_.settings.zone,
                       {},
                       WorkerGroupId{static_cast<std::uint16_t>(number)},
                       WorkerState::ready,
                       1,
                       startedAt};
        nodes_.push_back(std::move(added));
        return nodes_.size() - 1;
    }

    WorkerListUpdated currentWorkerList(WorkerListKind kind) const {
        WorkerListUpdated list{kind, 1, {}};
        for (const FleetNode &fleetNode : nodes_)
            if (fleetNode.entry.state != WorkerState::gone) list.workers.push_back(fleetNode.entry);
        return list;
    }

    void startGateway(unsigned index) {
        Gateway &gateway = gateways_[index];
        EngineSettings settings = scenario_.settings;
        settings.gatewayIndex.value = index;
        gateway.engine = std::make_unique<DecisionEngine>(settings, random_.drawSeed());
        ++gateway.incarnation;
        gateway.isAlive = true;
        deliver(index, currentWorkerList(WorkerListKind::snapshot));
    }

    // ---- Gateways: events for their engines, and the engines' actions ----

    void deliver(unsigned gateway, const Event &event) {
        if (!gateways_[gateway].isAlive) return;
        for (const Action &action : gateways_[gateway].engine->handle(events_.now(), event))
            std::visit([&](const auto &alternative) { perform(gateway, alternative); }, action);
    }

    /// Delivers an event after a delay. If the gateway is killed meanwhile, the event is lost.
    void deliverAfter(unsigned gateway, Duration delay, Event event) {
        events_.schedule(events_.now() + delay, [this, gateway, incarnation = gateways_[gateway].incarnation,
                                                 event = std::move(event)] {
            if (gateways_[gateway].incarnation == incarnation) deliver(gateway, event);
        });
    }

    void perform(unsigned gateway, const SetTimer &action) {
        events_.schedule(action.due,
                         [this, gateway, incarnation = gateways_[gateway].incarnation, token = action.token] {
                             if (gateways_[gateway].incarnation == incarnation)
                                 deliver(gateway, TimerFired{token});
                         });
    }

    /// The request reaches the counter after the network latency. It ends as timed out if the reply would
    /// reach the gateway too late.
    void perform(unsigned gateway, const AddToCount &action) {
        const unsigned incarnation = gateways_[gateway].incarnation;
        const Timestamp sentAt = events_.now();
        const Duration timeout = std::max(action.timeout, scenario_.settings.counterTimeout);
        events_.schedule(sentAt + scenario_.oneWayLatency, [this, gateway, incarnation, action, sentAt,
                                                            timeout] {
            const AddResult result = counter_.add(events_.now(), action.name, action.amount, action.lifetime);
            const bool isInTime =
                result.isAnswered && result.repliedAt + scenario_.oneWayLatency <= sentAt + timeout;
            const Timestamp endedAt =
                isInTime ? result.repliedAt + scenario_.oneWayLatency : sentAt + timeout;
            const Outcome outcome = !isInTime        ? Outcome::timedOut
                                    : result.isAdded ? Outcome::answered
                                                     : Outcome::overloaded;
            events_.schedule(endedAt, [this, gateway, incarnation, action, outcome, total = result.total,
                                       latency = endedAt - sentAt] {
                if (gateways_[gateway].incarnation == incarnation)
                    deliver(gateway, AddToCountEnded{action.name, outcome, total, latency});
            });
        });
    }

    void perform(unsigned, const AnswerRateLimited &action) {
        answerCall(action.call, false, true, action.retryAfter);
    }
    void perform(unsigned, const AnswerErrored &action) { answerCall(action.call, false, false, {}); }
    /// Actions without a counterpart in the simulation have no effect.
    void perform(unsigned, const auto &) {}

    /// Sends a job to the node. The try ends by the first of: its outcome at the node, a failed connection,
    /// its deadline.
    void perform(unsigned gateway, const SendTry &action) {
        Call &call = calls_.at(action.call.value);
        const std::uint64_t tryId = ++lastTryId_;
        const TryNumber number{static_cast<std::uint8_t>(call.tryCount++)};
        call.openTry = tryId;
        call.node = action.worker.value - 1;
        ++report_.triesSent;
        record(TraceEventKind::trySent, gateway, action.call.value, action.worker.value);
        openTries_[tryId] = {action.call.value, gateway,       number,
                             action.worker,     events_.now(), gateways_[gateway].incarnation};
        ClientRequest &request = *call.request;
        if (number.value == 0) takeFromQuota(request);  // further tries of a call cost no units
        const RouteTraffic &traffic = scenario_.routes[request.route];
        const Route &route = scenario_.settings.routes[request.route];
        const Job job{JobId{tryId}, action.call.value, random_.drawExponential(traffic.meanWorkMs),
                      route.effect == Effect::tokened, route.dedupWindow};
        ++customers_[request.customer].openTries;
        Duration connectDelay{};
        if (maxConnectDelayMs_ > 0 && call.node < slowConnectNodeCount_)
            connectDelay = fromMs(random_.drawUniform() * maxConnectDelayMs_);
        if (connectDelay > scenario_.settings.connectTimeout)
            events_.schedule(events_.now() + scenario_.settings.connectTimeout,
                             [this, tryId] { endTry(tryId, Outcome::connectFailed, {}); });
        else
            events_.schedule(events_.now() + connectDelay + scenario_.oneWayLatency,
                             [this, node = call.node, job] { arriveAtNode(node, job); });
        events_.schedule(std::max(action.deadline, events_.now()), [this, tryId, node = call.node] {
            if (openTries_.contains(tryId)) nodes_[node].node->cancel(JobId{tryId});
            endTry(tryId, Outcome::timedOut, {});
        });
    }

    void perform(unsigned, const CancelTry &action) {
        const auto call = calls_.find(action.call.value);
        if (call == calls_.end() || call->second.openTry == 0) return;
        const std::uint64_t tryId = call->second.openTry;
        nodes_[call->second.node].node->cancel(JobId{tryId});
        events_.schedule(events_.now(), [this, tryId] { endTry(tryId, Outcome::cancelled, {}); });
    }

    /// Ends a try with its one outcome; later outcomes of the same try are ignored. `queueLength` is the load
    /// report, if there is one.
    void endTry(std::uint64_t tryId, Outcome outcome, std::optional<unsigned> queueLength) {
        const auto found = openTries_.find(tryId);
        if (found == openTries_.end()) return;
        const UpstreamTry ended = found->second;
        openTries_.erase(found);
        Call &call = calls_.at(ended.call);
        call.openTry = 0;
        --customers_[call.request->customer].openTries;
        record(TraceEventKind::tryEnded, ended.gateway, ended.call, ended.worker.value);
        if (call.gateway != ended.gateway || gateways_[ended.gateway].incarnation != ended.incarnation)
            return;  // the gateway was killed meanwhile
        const bool isAnswered = outcome == Outcome::answered;
        TryEnded event{
            CallId{ended.call},        ended.number, ended.worker, outcome, events_.now() - ended.sentAt,
            isAnswered || call.isOver, {},           {},           {}};
        if (queueLength) event.load = {static_cast<double>(*queueLength)};
        if (isAnswered && !call.isOver) answerCall(CallId{ended.call}, true, false, {});
        deliver(ended.gateway, event);
    }

    // ---- Nodes, each referred to by its index in nodes_ ----

    void arriveAtNode(std::size_t index, const Job &job) {
        FleetNode &target = nodes_[index];
        const auto found = openTries_.find(job.id.value);
        if (found == openTries_.end()) return;  // timed out or cancelled on its way to the node
        if (!target.node->isAlive()) return scheduleTryEnd(job.id, Outcome::connectFailed, {});
        if (target.node->isSilent()) return;
        const auto rejected = target.node->submit(events_.now(), job);
        report_.maxColdLoadFraction =
            std::max(report_.maxColdLoadFraction, target.node->maxColdLoadFraction());
        if (rejected) return scheduleTryEnd(job.id, Outcome::overloaded, rejected->queueLength);
        if (!target.node->isAlive()) return loseNode(index);  // the job has crashed the cold node
        scheduleCompletion(index);
    }

    /// Ends a try when its outcome at the node has reached the gateway, after the network latency.
    void scheduleTryEnd(JobId id, Outcome outcome, std::optional<unsigned> queueLength) {
        events_.schedule(events_.now() + scenario_.oneWayLatency,
                         [this, id, outcome, queueLength] { endTry(id.value, outcome, queueLength); });
    }

    /// Schedules the collection of the node's next completed job, in place of an earlier schedule.
    void scheduleCompletion(std::size_t index) {
        const auto next = nodes_[index].node->nextCompletion();
        const std::uint64_t timer = ++nodes_[index].completionTimer;
        if (!next) return;
        events_.schedule(std::max(*next, events_.now()), [this, index, timer] {
            FleetNode &fleetNode = nodes_[index];
            if (fleetNode.completionTimer != timer) return;
            for (const JobResult &result : fleetNode.node->takeCompleted(events_.now())) {
                // The job's try may have timed out meanwhile; the call has run all the same.
                const auto found = openTries_.find(result.id.value);
                if (result.hasRun)
                    record(TraceEventKind::callRun, 0,
                           found != openTries_.end() ? found->second.call : callByTry_[result.id.value],
                           fleetNode.entry.worker.value);
                const bool isAnswered =
                    result.outcome == JobOutcome::answered && random_.drawUniform() >= invalidAnswerFraction_;
                const Outcome outcome = isAnswered ? Outcome::answered : Outcome::errored;
                if (!fleetNode.node->isSilent()) scheduleTryEnd(result.id, outcome, result.queueLength);
            }
            scheduleCompletion(index);
        });
    }

    /// Ends all open tries of a node that has crashed or stopped: their connections are reset. Discovery
    /// announces that the node is gone.
    void loseNode(std::size_t index) {
        std::vector<std::uint64_t> lostTries;
        for (const auto &[tryId, open] : openTries_)
            if (open.worker.value == index + 1) lostTries.push_back(tryId);
        for (const std::uint64_t tryId : lostTries) scheduleTryEnd(JobId{tryId}, Outcome::reset, {});
        announceGone(index);
    }

    void announceGone(std::size_t index) { announceState(index, WorkerState::gone); }

    /// Changes a node's state in discovery, and delivers the change to the gateways after the delay of the
    /// list.
    void announceState(std::size_t index, WorkerState state) {
        nodes_[index].entry.state = state;
        const WorkerListUpdated update{WorkerListKind::delta, 1, {nodes_[index].entry}};
        const unsigned lateCount = lateListGatewayCount_;
        const auto notifyGateways = [this, update, index, state](unsigned begin, unsigned end) {
            for (unsigned gateway = begin; gateway < end; ++gateway) {
                if (!gateways_[gateway].isAlive) continue;
                if (state != WorkerState::ready) record(TraceEventKind::nodeNotReady, gateway, 0, index + 1);
                deliver(gateway, update);
            }
        };
        if (lateCount > 0)
            events_.schedule(events_.now() + scenario_.listDelay + fromMs(extraListDelayMs_),
                             [notifyGateways, lateCount] { notifyGateways(0, lateCount); });
        events_.schedule(events_.now() + scenario_.listDelay, [this, notifyGateways, lateCount] {
            notifyGateways(lateCount, static_cast<unsigned>(gateways_.size()));
        });
    }

    // ---- Faults ----

    /// Calls `function` with each index below the given fraction of `count`.
    template <class Function>
    void forFirst(double fraction, std::size_t count, Function function) {
        for (std::size_t i = 0; i < roundedPart(fraction, count); ++i) function(i);
    }
    static std::size_t roundedPart(double fraction, std::size_t count) {
        return static_cast<std::size_t>(fraction * static_cast<double>(count) + 0.5);
    }

    void beginFault(const Fault &fault) {
        const std::size_t initialNodes = scenario_.nodeCount;  // nodes that start later are not affected
        switch (fault.kind) {
            case FaultKind::counterRefuses: counter_.setMode(CounterMode::rejecting); break;
            case FaultKind::counterSilent: counter_.setMode(CounterMode::silent); break;
            case FaultKind::counterSlow: counter_.setSlowdown(fault.magnitude); break;
            case FaultKind::counterEmpty: counter_.deleteCounts(); break;
            case FaultKind::nodesCrash:
                forFirst(fault.fraction, initialNodes, [this](std::size_t i) {
                    nodes_[i].node->crash();
                    loseNode(i);
                });
                break;
            case FaultKind::nodesSilent:
                forFirst(fault.fraction, initialNodes,
                         [this](std::size_t i) { nodes_[i].node->setSilent(true); });
                break;
            case FaultKind::nodesSlow:
                forFirst(fault.fraction, initialNodes,
                         [&](std::size_t i) { nodes_[i].node->setSlowdown(fault.magnitude); });
                break;
            case FaultKind::nodesFail:
                forFirst(fault.fraction, initialNodes,
                         [&](std::size_t i) { nodes_[i].node->setFailureFraction(fault.magnitude); });
                break;
            case FaultKind::nodesReplaced:
                forFirst(fault.fraction, initialNodes, [&](std::size_t i) {
                    events_.schedule(events_.now() + fault.duration * static_cast<std::int64_t>(i) /
                                                         std::max<std::int64_t>(
                                                             1, static_cast<std::int64_t>(
                                                                    fault.fraction * scenario_.nodeCount)),
                                     [this, i] { replaceNode(i); });
                });
                break;
            case FaultKind::gatewaysKilled:
                forFirst(fault.fraction, gateways_.size(),
                         [this](std::size_t i) { killGateway(static_cast<unsigned>(i)); });
                break;
            case FaultKind::listsLate:
                lateListGatewayCount_ = static_cast<unsigned>(roundedPart(fault.fraction, gateways_.size()));
                extraListDelayMs_ = fault.magnitude;
                break;
            case FaultKind::connectsLate:
                slowConnectNodeCount_ = roundedPart(fault.fraction, nodes_.size());
                maxConnectDelayMs_ = fault.magnitude;
                break;
            case FaultKind::answersSpoilt: invalidAnswerFraction_ = fault.magnitude; break;
            case FaultKind::trafficJump: trafficFactor_ = fault.magnitude; break;
        }
    }

    void endFault(const Fault &fault) {
        switch (fault.kind) {
            case FaultKind::counterRefuses:
            case FaultKind::counterSilent: counter_.setMode(CounterMode::serving); break;
            case FaultKind::counterSlow: counter_.setSlowdown(1); break;
            case FaultKind::nodesCrash:
                forFirst(fault.fraction, scenario_.nodeCount,
                         [this](std::size_t) { announceReady(addNode(events_.now())); });
                break;
            case FaultKind::nodesSilent:
                forFirst(fault.fraction, scenario_.nodeCount,
                         [this](std::size_t i) { nodes_[i].node->setSilent(false); });
                break;
            case FaultKind::nodesSlow:
                forFirst(fault.fraction, scenario_.nodeCount,
                         [this](std::size_t i) { nodes_[i].node->setSlowdown(1); });
                break;
            case FaultKind::nodesFail:
                forFirst(fault.fraction, scenario_.nodeCount,
                         [this](std::size_t i) { nodes_[i].node->setFailureFraction(0); });
                break;
            case FaultKind::gatewaysKilled:
                forFirst(fault.fraction, gateways_.size(),
                         [this](std::size_t i) { startGateway(static_cast<unsigned>(i)); });
                break;
            case FaultKind::listsLate: lateListGatewayCount_ = 0; break;
            case FaultKind::connectsLate: maxConnectDelayMs_ = 0; break;
            case FaultKind::answersSpoilt: invalidAnswerFraction_ = 0; break;
            case FaultKind::trafficJump: trafficFactor_ = 1; break;
            case FaultKind::counterEmpty:
            case FaultKind::nodesReplaced: break;
        }
    }

    void announceReady(std::size_t index) { announceState(index, WorkerState::ready); }

    /// Drains a node and starts a cold one at once. The drained node stops after 5 s.
    void replaceNode(std::size_t index) {
        nodes_[index].node->drain();
        announceState(index, WorkerState::draining);
        announceReady(addNode(events_.now()));
        events_.schedule(events_.now() + seconds(5), [this, index] {
            nodes_[index].node->crash();
            loseNode(index);
        });
    }

    void killGateway(unsigned index) {
        gateways_[index].isAlive = false;
        ++gateways_[index].incarnation;
        record(TraceEventKind::gatewayKilled, index, 0, 0);
        std::vector<std::uint64_t> lostCalls;
        for (auto &[id, call] : calls_)
            if (call.gateway == index && call.isReceived && !call.isOver) lostCalls.push_back(id);
        for (const std::uint64_t id : lostCalls) {
            calls_.at(id).isOver = true;
            ++report_.unanswered;
        }
    }

    // ---- Clients ----

    /// Schedules the next client request, which schedules the one after it. Arrivals are an open-loop Poisson
    /// process: they don't wait for answers.
    void scheduleNextArrival() {
        const double meanGapMs = 1000 / (scenario_.callsPerSecond * trafficFactor_);
        const Timestamp next = events_.now() + fromMs(random_.drawExponential(meanGapMs));
        if (std::max(next, start_) >= start_ + scenario_.duration) return;
        events_.schedule(std::max(next, start_), [this] {
            auto request = std::make_shared<ClientRequest>();
            request->startedAt = events_.now();
            request->route = drawWeighted(scenario_.routes);
            const unsigned plan = drawWeighted(scenario_.plans);
            const auto &customers = customersByPlan_[plan];
            request->customer =
                customers[random_.drawSkewedIndex(customers.size(), scenario_.plans[plan].skew)];
            request->units = 1 + static_cast<double>(random_.drawIndex(
                                     static_cast<std::size_t>(scenario_.plans[plan].maxUnits)));
            request->value = scenario_.settings.routes[request->route].billedValue *
                             scenario_.settings.plans[plan].price * request->units;
            request->isWithinQuota = takeFromIdealQuota(*request);
            ++report_.firstCalls;
            if (request->isWithinQuota) {
                report_.routes[request->route].requested += request->value;
                report_.plans[plan].requested += request->value;
                report_.intervals[reportInterval(request->startedAt)].requested += request->value;
                addToGroups(*request, &GroupService::requested);
            }
            sendCall(request);
            scheduleNextArrival();
        });
    }

    std::size_t reportInterval(Timestamp at) const {
        return std::min(report_.intervals.size() - 1,
                        static_cast<std::size_t>((at - start_) / kReportInterval));
    }

    /// Draws an index with a probability in proportion to the element's `weight`.
    template <class Elements>
    unsigned drawWeighted(const Elements &elements) {
        double sumOfWeights = 0;
        for (const auto &element : elements) sumOfWeights += element.weight;
        double remaining = random_.drawUniform() * sumOfWeights;
        for (unsigned i = 0; i < elements.size(); ++i)
            if ((remaining -= elements[i].weight) < 0) return i;
        return static_cast<unsigned>(elements.size() - 1);
    }

    /// Sends a request as a new call to a gateway of the customer's subset. Does nothing if too little of the
    /// client's timeout is left for the network latency to the gateway and back.
    void sendCall(const std::shared_ptr<ClientRequest> &request) {
        const Customer &customer = customers_[request->customer];
        const unsigned gateway =
            (customer.subsetStart + static_cast<unsigned>(random_.drawSkewedIndex(
                                        scenario_.gatewaySubsetSize, scenario_.gatewaySubsetSkew))) %
            scenario_.settings.gatewayCount;
        const Duration remaining =
            request->startedAt + scenario_.settings.routes[request->route].clientTimeout - events_.now();
        if (remaining <= 2 * scenario_.oneWayLatency) return;
        const std::uint64_t id = ++lastCallId_;
        ++request->callCount;
        ++report_.calls;
        calls_[id] = {request, gateway, events_.now(), events_.now() + remaining, false, false, 0, 0, 0};
        events_.schedule(events_.now() + scenario_.oneWayLatency, [this, id, gateway, remaining] {
            Call &call = calls_.at(id);
            if (!gateways_[gateway].isAlive) {
                call.isOver = true;
                events_.schedule(events_.now() + kDeadGatewayTimeout,
                                 [this, request = call.request] { scheduleRetry(request, {}); });
                return;
            }
            const ClientRequest &sent = *call.request;
            const Customer &sender = customers_[sent.customer];
            CallReceived event;
            event.call = {id};
            event.route.value = static_cast<std::uint8_t>(sent.route);
            event.plan.value = static_cast<std::uint16_t>(sender.plan);
            event.customer = {sender.id};
            event.units = sent.units;
            event.gatewaySubsetSize = scenario_.gatewaySubsetSize;
            event.gatewaySubsetStart = sender.subsetStart;
            event.timeRemaining = remaining - scenario_.oneWayLatency;
            event.isClientRetry = sent.callCount > 1;
            call.isReceived = true;
            record(TraceEventKind::callReceived, gateway, id, 0, event.timeRemaining,
                   scenario_.settings.routes[sent.route].effect == Effect::nonIdempotent);
            deliver(gateway, event);
        });
    }

    /// Lets the client retry, if it has retries left: after the gateway's `retryAfter` (without one: 100 ms)
    /// and a random delay.
    void scheduleRetry(const std::shared_ptr<ClientRequest> &request, std::optional<Duration> retryAfter) {
        if (request->isProxied || request->callCount > scenario_.maxRetries) return;
        const Duration delay = retryAfter.value_or(milliseconds(100)) + fromMs(random_.drawExponential(50));
        events_.schedule(events_.now() + delay, [this, request] { sendCall(request); });
    }

    /// Gives a call its final answer: proxied, rate-limited, or errored if it is neither.
    void answerCall(CallId id, bool isProxied, bool isRateLimited, std::optional<Duration> retryAfter) {
        const auto found = calls_.find(id.value);
        if (found == calls_.end()) return;
        Call &call = found->second;
        record(TraceEventKind::callAnswered, call.gateway, id.value, 0);
        call.isOver = true;
        ClientRequest &request = *call.request;
        const Duration latency = events_.now() + scenario_.oneWayLatency - request.startedAt;
        if (isProxied && latency <= scenario_.settings.routes[request.route].latencyTarget) {
            ++report_.served;
            report_.latenciesMs.push_back(toMs(latency));
            if (request.isWithinQuota) {
                report_.routes[request.route].served += request.value;
                report_.plans[customers_[request.customer].plan].served += request.value;
                report_.intervals[reportInterval(request.startedAt)].served += request.value;
                addToGroups(request, &GroupService::served);
            }
        }
        if (isProxied) {
            report_.late += latency > scenario_.settings.routes[request.route].latencyTarget;
            request.isProxied = true;
            return;
        }
        ++(isRateLimited ? report_.rateLimited : report_.errored);
        if (isRateLimited && hasQuotaLeft(request)) ++report_.rateLimitedWithinQuota;
        // An errored call may have run: clients repeat it only if that does no harm.
        const Effect effect = scenario_.settings.routes[request.route].effect;
        if (isRateLimited || effect == Effect::idempotent) scheduleRetry(call.request, retryAfter);
    }

    // ---- Reference limiter: one token bucket per customer, with the calls of all gateways ----

    void refill(Customer &customer) {
        const Plan &plan = scenario_.settings.plans[customer.plan];
        customer.level = std::min(
            plan.burst, customer.level + plan.rate * toMs(events_.now() - customer.refilledAt) / 1000);
        customer.refilledAt = events_.now();
    }

    /// Whether the quota and the open cap leave room for the request, after the calls that the gateways sent.
    bool hasQuotaLeft(const ClientRequest &request) {
        Customer &customer = customers_[request.customer];
        refill(customer);
        const Plan &plan = scenario_.settings.plans[customer.plan];
        const bool hasUnits = plan.rate <= 0 || customer.level >= request.units;
        return hasUnits && (plan.openCap == 0 || customer.openTries < static_cast<int>(plan.openCap));
    }

    /// Decides whether a request is within its customer's quota, and takes its units if it is. These buckets
    /// count each client request once, when it starts, and don't depend on what the gateways do.
    bool takeFromIdealQuota(const ClientRequest &request) {
        Customer &ideal =
            idealCustomers_.try_emplace(request.customer, customers_[request.customer]).first->second;
        refill(ideal);
        if (scenario_.settings.plans[ideal.plan].rate <= 0) return true;
        if (ideal.level < request.units) return false;
        ideal.level -= request.units;
        return true;
    }

    /// Takes the units of a call that a gateway sends to a node. If the quota doesn't suffice, nothing is
    /// taken and the units are reported as beyond the quota.
    void takeFromQuota(const ClientRequest &request) {
        const bool hasRoom = hasQuotaLeft(request);
        Customer &customer = customers_[request.customer];
        report_.unitsSent += request.units;
        if (!hasRoom) report_.unitsBeyondQuota += request.units;
        if (hasRoom && scenario_.settings.plans[customer.plan].rate > 0) customer.level -= request.units;
    }

    // ---- Trace and report ----

    void record(TraceEventKind kind, unsigned gateway, std::uint64_t call, std::uint64_t node,
                Duration timeRemaining = {}, bool isNonIdempotent = false) {
        trace_.push_back({events_.now(), kind, gateway, call, node, timeRemaining, isNonIdempotent});
        if (kind == TraceEventKind::trySent) callByTry_[lastTryId_] = call;
    }

    Report finishReport() {
        report_.ruleViolations = findRuleViolations(
            trace_, {scenario_.settings.answerSlack, scenario_.settings.drainGrace}, events_.now());
        for (const FleetNode &fleetNode : nodes_)
            if (fleetNode.node->hasCrashedCold())
                report_.ruleViolations.push_back("cold nodes: node " +
                                                 std::to_string(fleetNode.entry.worker.value) + " fell over");
        if (scenario_.minServedFraction > 0)
            report_.starvedGroups = findStarvedGroups(report_.groups, scenario_.minServedFraction,
                                                      kMinStarvationRequests, kServiceInterval);
        report_.counterRequests = counter_.requestCount();
        report_.counterRejected = counter_.rejectedCount();
        report_.events = events_.processedCount();
        std::ranges::sort(report_.latenciesMs);
        return std::move(report_);
    }

    /// A try that a gateway has sent and that has not ended.
    struct UpstreamTry {
        std::uint64_t call = 0;
        unsigned gateway = 0;
        TryNumber number;
        WorkerId worker;
        Timestamp sentAt{};
        unsigned incarnation = 0;
    };

    const Scenario &scenario_;
    RandomSource random_;
    Counter counter_;
    EventQueue events_;
    const Timestamp start_ = seconds(1);  // of the traffic
    std::vector<FleetNode> nodes_;        // by worker id - 1; nodes that are gone stay
    std::vector<Gateway> gateways_;
    std::vector<Customer> customers_;
    std::vector<std::vector<std::size_t>> customersByPlan_;  // indices into customers_
    std::map<std::size_t, Customer> idealCustomers_;         // see takeFromIdealQuota
    std::map<std::uint64_t, Call> calls_;
    std::map<std::uint64_t, UpstreamTry> openTries_;
    std::map<std::uint64_t, std::uint64_t> callByTry_;  // of all tries, also of those that have ended
    std::uint64_t lastCallId_ = 0;
    std::uint64_t lastTryId_ = 0;
    // State of the faults trafficJump, answersSpoilt, listsLate and connectsLate.
    double trafficFactor_ = 1;
    double invalidAnswerFraction_ = 0;
    double extraListDelayMs_ = 0;
    double maxConnectDelayMs_ = 0;
    unsigned lateListGatewayCount_ = 0;
    std::size_t slowConnectNodeCount_ = 0;
    std::vector<double> requestedWorkMs_;  // by interval: mean work of the requests within quotas
    std::vector<TraceEvent> trace_;
    Report report_;
};

}  // namespace

double Report::serviceRatio() const {
    double requestedValue = 0;
    double servedValue = 0;
    for (const ValueTotals &route : routes) {
        requestedValue += route.requested;
        servedValue += route.served;
    }
    return requestedValue > 0 ? servedValue / requestedValue : 1;
}

Report simulate(const Scenario &scenario, std::uint64_t seed) { return Simulation(scenario, seed).run(); }

}  // namespace arrowstile::lab
