/**
 * Random histories of processes that compete for one journal. A process may be paused in any call to the service while
 * the others continue, and any write may be refused, lost, delayed, or lose its answer. QR_HISTORIES sets the number of
 * histories.
 */
#include <journal/journal.h>
#include <platform/embeddedkeyvalue.h>
#include <platform/faultykeyvalue.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <cstdlib>
#include <functional>
#include <set>
#include <sstream>

using namespace QuetzalRock;

namespace {

using Numbers = std::vector<int>;

/** Sets RapidCheck's parameters during static initialisation, because it reads them when the first property starts. */
const bool AreParametersSet = [] {
    const char *given = std::getenv("RC_PARAMS");
    const char *histories = std::getenv("QR_HISTORIES");
    const std::string params = std::string(given ? given : "") + " max_success=" + (histories ? histories : "2500");
    return setenv("RC_PARAMS", params.c_str(), 1) == 0;
}();

enum class Action {
    Advance, ///< what a real owner would do next: resolve, take over, snapshot or append
    TakeOver,
    Append,
    Snapshot,
    Resolve,
    Restart,        ///< replaces the process by a new one without any state
    DeliverDelayed, ///< a delayed write reaches the service
};

enum class Fault {
    Refuse,
    LoseWrite,
    LoseAnswer,
    Delay, ///< no answer; DeliverDelayed may let the write arrive later
    Down,
};

struct Step
{
    int owner = 0;
    Action action = Action::Advance;
    int size = 1;    ///< number of records to append, or index of the delayed write to deliver
    int faultAt = 0; ///< number of the call to the service at which the fault begins; 0: none
    Fault fault = Fault::Down;
    int faults = 1;          ///< number of consecutive writes affected
    int pauseAt = 0;         ///< number of the call to the service at which the owner is paused; 0: none
    bool pauseAfter = false; ///< pause after the call took effect instead of before
    std::vector<Step> whilePaused;
};

rc::Gen<Step> genStep(bool withPause)
{
    const auto action = rc::gen::weightedElement<Action>({{10, Action::Advance},
                                                          {2, Action::TakeOver},
                                                          {2, Action::Append},
                                                          {1, Action::Snapshot},
                                                          {1, Action::Resolve},
                                                          {1, Action::Restart},
                                                          {1, Action::DeliverDelayed}});
    const auto sometimes = rc::gen::weightedOneOf<int>({{3, rc::gen::just(0)}, {2, rc::gen::inRange(1, 6)}});
    const auto whilePaused = withPause ? rc::gen::resize(6, rc::gen::container<std::vector<Step>>(genStep(false)))
                                       : rc::gen::just(std::vector<Step>());
    return rc::gen::build<Step>(
        rc::gen::set(&Step::owner, rc::gen::inRange(0, 3)),
        rc::gen::set(&Step::action, action),
        rc::gen::set(&Step::size, rc::gen::inRange(0, 4)),
        rc::gen::set(&Step::faultAt, sometimes),
        rc::gen::set(&Step::fault, rc::gen::map(rc::gen::inRange(0, 5), [](int n) { return static_cast<Fault>(n); })),
        rc::gen::set(&Step::faults, rc::gen::inRange(1, 4)),
        rc::gen::set(&Step::pauseAt, withPause ? sometimes : rc::gen::just(0)),
        rc::gen::set(&Step::pauseAfter),
        rc::gen::set(&Step::whilePaused, whilePaused));
}

std::ostream &operator<<(std::ostream &os, const Step &step)
{
    os << "{owner " << step.owner << " action " << static_cast<int>(step.action) << " size " << step.size;
    if (step.faultAt > 0) {
        os << " fault " << static_cast<int>(step.fault) << " x" << step.faults << " at " << step.faultAt;
    }
    if (step.pauseAt > 0) {
        os << " paused " << (step.pauseAfter ? "after " : "before ") << step.pauseAt << " for";
        for (const Step &it : step.whilePaused) {
            os << ' ' << it;
        }
    }
    return os << '}';
}

/** The service; asserts that batches are written in sequence without gaps and that only takeovers raise the epoch. */
class CheckedKeyValue final : public KeyValueService
{
public:
    explicit CheckedKeyValue(KeyValueService &service)
        : m_service(service)
    {
    }
    CasResult compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease) override
    {
        const CasResult result = m_service.compareAndSwap(key, expected, value, lease);
        if (result.swapped && key.starts_with("journal/")) {
            checkOrder(detail::decodeBatch(value).header);
        }
        return result;
    }
    std::optional<KeyValue> get(std::string_view key) override
    {
        return m_service.get(key);
    }
    std::vector<KeyValue> list(std::string_view prefix) override
    {
        return m_service.list(prefix);
    }
    CasResult remove(std::string_view key, Revision at) override
    {
        return m_service.remove(key, at);
    }
    LeaseId grantLease(Duration ttl) override
    {
        return m_service.grantLease(ttl);
    }
    bool renewLease(LeaseId lease) override
    {
        return m_service.renewLease(lease);
    }
    void revokeLease(LeaseId lease) override
    {
        m_service.revokeLease(lease);
    }
    WatchResult watch(std::string_view prefix, Revision after, Duration timeout) override
    {
        return m_service.watch(prefix, after, timeout);
    }

    detail::BatchHeader last;

private:
    void checkOrder(const detail::BatchHeader &header)
    {
        RC_ASSERT(header.sequence == last.sequence + 1);
        const bool isTakeover = header.kind == detail::BatchKind::Takeover;
        RC_ASSERT(header.epoch == last.epoch + (isTakeover ? 1 : 0));
        RC_ASSERT(isTakeover || header.writer == last.writer);
        last = header;
    }

    KeyValueService &m_service;
};

struct DelayedWrite
{
    std::string key;
    Revision expected;
    std::string value;
};

/** One owner's connection to the service, with the faults and the pause of the current step. */
class FaultyConnection final : public KeyValueService
{
public:
    FaultyConnection(KeyValueService &service, std::vector<DelayedWrite> &delayedWrites)
        : m_faulty(service)
        , m_delayedWrites(delayedWrites)
    {
    }
    void beginStep(const Step &step, std::function<void()> pause)
    {
        m_step = step;
        m_pause = std::move(pause);
        m_calls = 0;
        m_writesToDelay = 0;
    }
    void endStep()
    {
        m_faulty.down = false;
        m_faulty.refuseWrites = 0;
        m_faulty.loseWrites = 0;
        m_faulty.loseWriteAnswers = 0;
        m_writesToDelay = 0;
    }
    CasResult compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease) override
    {
        return call([&] {
            if (m_writesToDelay > 0) {
                --m_writesToDelay;
                m_delayedWrites.push_back({std::string(key), expected, std::string(value)});
                throw OutcomeUnknown("write delayed");
            }
            return m_faulty.compareAndSwap(key, expected, value, lease);
        });
    }
    std::optional<KeyValue> get(std::string_view key) override
    {
        return call([&] { return m_faulty.get(key); });
    }
    std::vector<KeyValue> list(std::string_view prefix) override
    {
        return call([&] { return m_faulty.list(prefix); });
    }
    CasResult remove(std::string_view key, Revision at) override
    {
        return m_faulty.remove(key, at);
    }
    LeaseId grantLease(Duration ttl) override
    {
        return m_faulty.grantLease(ttl);
    }
    bool renewLease(LeaseId lease) override
    {
        return m_faulty.renewLease(lease);
    }
    void revokeLease(LeaseId lease) override
    {
        m_faulty.revokeLease(lease);
    }
    WatchResult watch(std::string_view prefix, Revision after, Duration timeout) override
    {
        return m_faulty.watch(prefix, after, timeout);
    }

private:
    template<typename Call>
    auto call(const Call &service) -> decltype(service())
    {
        const bool paused = ++m_calls == m_step.pauseAt;
        if (m_calls == m_step.faultAt) {
            beginFault();
        }
        if (paused && !m_step.pauseAfter) {
            m_pause();
        }
        try {
            auto result = service();
            if (paused && m_step.pauseAfter) {
                m_pause();
            }
            return result;
        } catch (const Error &) {
            if (paused && m_step.pauseAfter) {
                m_pause();
            }
            throw;
        }
    }
    void beginFault()
    {
        switch (m_step.fault) {
        case Fault::Refuse:
            m_faulty.refuseWrites = m_step.faults;
            break;
        case Fault::LoseWrite:
            m_faulty.loseWrites = m_step.faults;
            break;
        case Fault::LoseAnswer:
            m_faulty.loseWriteAnswers = m_step.faults;
            break;
        case Fault::Delay:
            m_writesToDelay = m_step.faults;
            break;
        case Fault::Down:
            m_faulty.down = true;
            break;
        }
    }

    FaultyKeyValue m_faulty;
    std::vector<DelayedWrite> &m_delayedWrites;
    Step m_step;
    std::function<void()> m_pause;
    int m_calls = 0;
    int m_writesToDelay = 0;
};

std::string encodeHistory(const Numbers &numbers)
{
    std::string text;
    for (const int it : numbers) {
        text += std::to_string(it) + ' ';
    }
    return text;
}

Numbers decodeHistory(const Replay &replay)
{
    Numbers numbers;
    std::istringstream in(replay.snapshot);
    for (int it = 0; in >> it;) {
        numbers.push_back(it);
    }
    for (const std::string &it : replay.records) {
        numbers.push_back(std::stoi(it));
    }
    return numbers;
}

/** The service, three candidate owners, and the records that were reported as written or as not written. */
class Simulation
{
public:
    explicit Simulation(std::uint32_t slots)
        : m_slots(slots)
    {
        for (int n = 0; n < 3; ++n) {
            m_owners.push_back(std::make_unique<Owner>(m_service, m_delayedWrites));
            restart(*m_owners.back());
        }
    }
    void run(const Step &step);
    void checkFinalHistory();

    int fenced = 0;
    int resolved = 0;
    int paused = 0;
    int ringFull = 0;

private:
    struct Owner
    {
        Owner(KeyValueService &service, std::vector<DelayedWrite> &delayedWrites)
            : connection(service, delayedWrites)
        {
        }
        FaultyConnection connection;
        std::unique_ptr<Journal> journal;
        Numbers knownHistory;           ///< every number that it knows to be written
        std::optional<Numbers> inDoubt; ///< numbers of the batch in doubt; empty for a snapshot
        bool busy = false;              ///< in a step, possibly paused
    };

    void perform(Owner &owner, const Step &step);
    void advance(Owner &owner, int size);
    void takeOver(Owner &owner);
    void append(Owner &owner, int size);
    void snapshot(Owner &owner);
    void resolve(Owner &owner);
    void restart(Owner &owner);
    void deliverDelayed(std::size_t index);
    void recordAcknowledged(Owner &owner, const Numbers &numbers);
    void recordNotWritten(const Numbers &numbers);
    void checkSharedPrefix(const Numbers &history);
    JournalSettings settings();

    std::uint32_t m_slots;
    ManualClock m_clock;
    EmbeddedKeyValue m_store{m_clock};
    CheckedKeyValue m_service{m_store};
    std::vector<DelayedWrite> m_delayedWrites;
    std::vector<std::unique_ptr<Owner>> m_owners;
    std::set<int> m_acknowledged;
    std::set<int> m_notWritten;
    Numbers m_longestHistory; ///< longest history that any process has seen
    int m_lastNumber = 0;
    int m_lastWriter = 0;
};

void Simulation::run(const Step &step)
{
    Owner &owner = *m_owners[step.owner];
    if (owner.busy) {
        return;
    }
    owner.busy = true;
    owner.connection.beginStep(step, [this, &step] {
        ++paused;
        for (const Step &it : step.whilePaused) {
            run(it);
        }
    });
    perform(owner, step);
    owner.connection.endStep();
    owner.busy = false;
}

void Simulation::perform(Owner &owner, const Step &step)
{
    try {
        switch (step.action) {
        case Action::Advance:
            return advance(owner, step.size);
        case Action::TakeOver:
            return takeOver(owner);
        case Action::Append:
            return append(owner, step.size);
        case Action::Snapshot:
            return snapshot(owner);
        case Action::Resolve:
            return resolve(owner);
        case Action::Restart:
            return restart(owner);
        case Action::DeliverDelayed:
            return deliverDelayed(step.size);
        }
    } catch (const Fenced &) {
        ++fenced;
    } catch (const LogFull &) {
        ++ringFull;
    } catch (const Unavailable &) {
    }
}

void Simulation::advance(Owner &owner, int size)
{
    if (owner.inDoubt) {
        resolve(owner);
    } else if (owner.journal->epoch() == 0) {
        takeOver(owner);
    } else if (owner.journal->snapshotDue()) {
        snapshot(owner);
    } else {
        append(owner, size);
    }
}

void Simulation::takeOver(Owner &owner)
{
    const std::set<int> before = m_acknowledged;
    owner.inDoubt.reset();
    owner.knownHistory = decodeHistory(owner.journal->takeOver());
    checkSharedPrefix(owner.knownHistory);
    const std::set<int> seen(owner.knownHistory.begin(), owner.knownHistory.end());
    RC_ASSERT(std::ranges::includes(seen, before));
}

void Simulation::append(Owner &owner, int size)
{
    Numbers numbers;
    std::vector<std::string> records;
    for (int n = 0; n < size; ++n) {
        numbers.push_back(++m_lastNumber);
        records.push_back(std::to_string(m_lastNumber));
    }
    try {
        owner.journal->append(records);
        recordAcknowledged(owner, numbers);
    } catch (const OutcomeUnknown &) {
        if (owner.inDoubt) {
            return recordNotWritten(numbers); // refused because an earlier batch is in doubt
        }
        owner.inDoubt = numbers;
    } catch (const Error &) {
        recordNotWritten(numbers);
        throw;
    }
}

void Simulation::snapshot(Owner &owner)
{
    try {
        owner.journal->snapshot(encodeHistory(owner.knownHistory));
    } catch (const OutcomeUnknown &) {
        if (!owner.inDoubt) {
            owner.inDoubt = Numbers();
        }
    }
}

void Simulation::resolve(Owner &owner)
{
    if (!owner.inDoubt) {
        return;
    }
    try {
        if (owner.journal->resolve()) {
            recordAcknowledged(owner, *owner.inDoubt);
        } else {
            recordNotWritten(*owner.inDoubt);
        }
        owner.inDoubt.reset();
        ++resolved;
    } catch (const FencedInDoubt &) {
        owner.inDoubt.reset();
    } catch (const OutcomeUnknown &) {
    } catch (const Fenced &) {
        recordNotWritten(*owner.inDoubt);
        owner.inDoubt.reset();
        throw;
    }
}

void Simulation::restart(Owner &owner)
{
    owner.journal = std::make_unique<Journal>(owner.connection, settings());
    owner.knownHistory.clear();
    owner.inDoubt.reset();
}

void Simulation::deliverDelayed(std::size_t index)
{
    if (m_delayedWrites.empty()) {
        return;
    }
    const auto it = m_delayedWrites.begin() + static_cast<std::ptrdiff_t>(index % m_delayedWrites.size());
    const DelayedWrite write = *it;
    m_delayedWrites.erase(it);
    m_service.compareAndSwap(write.key, write.expected, write.value, 0);
}

void Simulation::recordAcknowledged(Owner &owner, const Numbers &numbers)
{
    owner.knownHistory.insert(owner.knownHistory.end(), numbers.begin(), numbers.end());
    m_acknowledged.insert(numbers.begin(), numbers.end());
    checkSharedPrefix(owner.knownHistory);
}

void Simulation::recordNotWritten(const Numbers &numbers)
{
    m_notWritten.insert(numbers.begin(), numbers.end());
}

/** Asserts that of any two histories seen, one is a prefix of the other. */
void Simulation::checkSharedPrefix(const Numbers &history)
{
    const std::size_t n = std::min(history.size(), m_longestHistory.size());
    RC_ASSERT(std::equal(history.begin(), history.begin() + static_cast<std::ptrdiff_t>(n), m_longestHistory.begin()));
    if (history.size() > m_longestHistory.size()) {
        m_longestHistory = history;
    }
}

JournalSettings Simulation::settings()
{
    JournalSettings settings;
    settings.name = "muuga";
    settings.writer = "entry-" + std::to_string(++m_lastWriter);
    settings.slots = m_slots;
    settings.chunkBytes = 16;
    return settings;
}

void Simulation::checkFinalHistory()
{
    while (!m_delayedWrites.empty()) {
        deliverDelayed(0);
    }
    Journal reader(m_service, settings());
    const Numbers history = decodeHistory(reader.read());
    checkSharedPrefix(history);
    const std::set<int> written(history.begin(), history.end());
    RC_ASSERT(written.size() == history.size());
    RC_ASSERT(std::ranges::includes(written, m_acknowledged));
    for (const int it : m_notWritten) {
        RC_ASSERT(!written.contains(it));
    }
    RC_CLASSIFY(m_service.last.sequence > m_slots, "ring wrapped");
    RC_CLASSIFY(m_service.last.sequence > 5 * m_slots, "ring wrapped five times");
    RC_CLASSIFY(m_service.last.epoch > 3, "more than three owners");
    RC_CLASSIFY(fenced > 0, "an owner was fenced off");
    RC_CLASSIFY(resolved > 0, "a batch in doubt was resolved");
    RC_CLASSIFY(paused > 0, "an owner was paused in a call");
    RC_CLASSIFY(ringFull > 0, "the ring was full");
}

struct NoModel
{
};

struct StepCommand final : public rc::state::Command<NoModel, Simulation>
{
    Step step = *genStep(true);

    void run(const NoModel & /*model*/, Simulation &simulation) const override
    {
        simulation.run(step);
    }
    void show(std::ostream &os) const override
    {
        os << step;
    }
};

} // namespace

RC_GTEST_PROP(JournalProperty, losesRepeatsAndReordersNothing, ())
{
    RC_ASSERT(AreParametersSet);
    Simulation simulation(*rc::gen::element(8U, 12U, 16U));
    rc::state::check(NoModel(), simulation, rc::state::gen::execOneOfWithArgs<StepCommand>());
    simulation.checkFinalHistory();
}
