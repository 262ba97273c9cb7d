#include <workflow/node.h>

#include <base/errors.h>

#include <algorithm>
#include <functional>

namespace QuetzalRock::Workflow {

namespace {

using namespace std::chrono_literals;

constexpr Duration LeaderIdle = 10ms;    ///< orders and writes are gathered for a few times this long
constexpr Duration FollowerIdle = 100ms; ///< renewals and retries need no more

} // namespace

Node::Node(const NodeSettings &settings,
           RecordStore &store,
           WorkerPort &workers,
           const RecordDecoder &decoder,
           Clock &clock,
           EventLog &log)
    : m_settings(settings)
    , m_store(store)
    , m_workers(workers)
    , m_decoder(decoder)
    , m_clock(clock)
    , m_log(log)
    , m_operatorItems(
          store, clock, log, std::string(decoder.operatorPrefix()), [this](const StoreItem &it) { onOperatorItem(it); })
    , m_election(store, clock, log, settings.name, settings.boot, settings.election)
    , m_intake(store, clock, log, settings.intake)
{
}

const Catalog &Node::catalog() const
{
    return m_catalog;
}

Intake &Node::intake()
{
    return m_intake;
}

const IntakeCounters &Node::intakeCounters() const
{
    return m_intake.counters();
}

void Node::setObserver(WorkflowObserver *observer)
{
    m_observer = observer;
}

const Election &Node::election() const
{
    return m_election;
}

const WorkflowScheduler *Node::scheduler() const
{
    return m_scheduler.get();
}

Duration Node::idleTime() const
{
    const Duration untilElection = std::max<Duration>(1ms, m_election.nextAt() - m_clock.now());
    return std::min(untilElection, m_scheduler ? LeaderIdle : FollowerIdle);
}

bool Node::isReady(TimePoint now) const
{
    return !m_isDraining && m_catalog.version > 0 && now < m_operatorItems.freshAt() + m_settings.storeSilence;
}

void Node::beginDrain()
{
    m_isDraining = true;
    m_election.resign();
}

void Node::tick(TimePoint now)
{
    m_operatorItems.tick(now);
    if (m_catalog.version > 0) {
        m_election.tick(now);
    }
    followTerm();
    if (m_scheduler) {
        m_registry->tick(now);
        m_scheduler->tick(now, m_election.authority(now));
        if (m_scheduler->isDeposed()) {
            m_election.depose();
        }
    }
    m_intake.tick(now);
}

/** Makes a scheduler for each term, and drops it with the term. */
void Node::followTerm()
{
    const Leadership &term = m_election.leadership();
    if (term.epoch == m_epoch) {
        return;
    }
    m_epoch = term.epoch;
    m_registry.reset();
    m_scheduler.reset();
    if (term.epoch == 0) {
        return;
    }
    m_scheduler = std::make_unique<WorkflowScheduler>(m_settings.scheduler, m_store, m_workers, m_clock, m_log, term);
    m_scheduler->setObserver(m_observer);
    m_registry = std::make_unique<PrefixMirror>(
        m_store, m_clock, m_log, std::string(m_decoder.registryPrefix()), [this](const StoreItem &it) {
            onRegistryItem(it);
        });
}

void Node::onOperatorItem(const StoreItem &item)
{
    if (!m_decoder.isCatalog(item.key) || item.isDeleted) {
        return;
    }
    try {
        Catalog catalog = m_decoder.parseCatalog(item.value);
        if (catalog.version <= m_catalog.version) {
            m_log.write("catalog_ignored", "version", catalog.version, "in_force", m_catalog.version);
            return;
        }
        m_catalog = std::move(catalog);
        m_log.write("catalog_in_force",
                    "version",
                    m_catalog.version,
                    "revision",
                    item.revision,
                    "queues",
                    m_catalog.queues.size());
    } catch (const std::exception &error) {
        m_log.write("catalog_unreadable", "revision", item.revision, "error", error.what());
    }
}

void Node::onRegistryItem(const StoreItem &item)
{
    const std::string id = item.key.substr(m_decoder.registryPrefix().size());
    if (item.isDeleted) {
        m_scheduler->setWorker(id, std::nullopt);
        return;
    }
    try {
        m_scheduler->setWorker(id, m_decoder.parseWorker(id, item.value));
    } catch (const std::exception &error) {
        m_log.write("worker_entry_unreadable", "worker", id, "revision", item.revision, "error", error.what());
        m_scheduler->setWorker(id, std::nullopt);
    }
}

const Queue *Node::findQueue(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const Queue &it : m_catalog.queues) {
        const bool isMatch = (it.host.empty() || it.host == host) && path.starts_with(it.pathPrefix);
        if (isMatch && (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size())) {
            best = &it;
        }
    }
    return best;
}

} // namespace QuetzalRock::Workflow
