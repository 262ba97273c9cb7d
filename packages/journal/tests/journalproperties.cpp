/**
 * Random histories of rival owners of one journal. Any call to the service may be a point where its owner is paused while
 * the others go on; any write may be refused, lost, answered in vain, or arrive late. QR_HISTORIES says how many are tried.
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

/** RapidCheck reads its parameters when the first property starts. */
const bool IsConfigured = [] {
    const char *given = std::getenv("RC_PARAMS");
    const char *histories = std::getenv("QR_HISTORIES");
    const std::string params = std::string(given ? given : "") + " max_success=" + (histories ? histories : "2500");
    return setenv("RC_PARAMS", params.c_str(), 1) == 0;
}();

enum class Action {
    Work, ///< whatever an owner would do next: take over, settle, snapshot or append
    TakeOver,
    Append,
    Snapshot,
    Resolve,
    Restart, ///< the process dies and another begins with nothing
    Land,    ///< a write that was held up arrives
};

enum class Fault {
    Refuse,
    LoseWrite,
    LoseAnswer,
    HoldUp, ///< no answer, and the write arrives at some later time
    Down,
};

struct Step
{
    int owner = 0;
    Action action = Action::Work;
    int size = 1;    ///< records of an append; which of the held-up writes lands
    int faultAt = 0; ///< number of the call to the service from which the fault holds; 0: none
    Fault fault = Fault::Down;
    int faults = 1;          ///< how many writes in a row
    int pauseAt = 0;         ///< number of the call at which the owner is paused; 0: none
    bool pauseAfter = false; ///< after the call took effect, not before
    std::vector<Step> meanwhile;
};

rc::Gen<Step> genStep(bool withPause)
{
    const auto action = rc::gen::weightedElement<Action>({{10, Action::Work},
                                                          {2, Action::TakeOver},
                                                          {2, Action::Append},
                                                          {1, Action::Snapshot},
                                                          {1, Action::Resolve},
                                                          {1, Action::Restart},
                                                          {1, Action::Land}});
    const auto sometimes = rc::gen::weightedOneOf<int>({{3, rc::gen::just(0)}, {2, rc::gen::inRange(1, 6)}});
    const auto meanwhile = withPause ? rc::gen::resize(6, rc::gen::container<std::vector<Step>>(genStep(false)))
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
        rc::gen::set(&Step::meanwhile, meanwhile));
}

std::ostream &operator<<(std::ostream &os, const Step &step)
{
    os << "{owner " << step.owner << " action " << static_cast<int>(step.action) << " size " << step.size;
    if (step.faultAt > 0) {
        os << " fault " << static_cast<int>(step.fault) << " x" << step.faults << " at " << step.faultAt;
    }
    if (step.pauseAt > 0) {
        os << " paused " << (step.pauseAfter ? "after " : "before ") << step.pauseAt << " for";
        for (const Step &it : step.meanwhile) {
            os << ' ' << it;
        }
    }
    return os << '}';
}

/** The service itself: checks that slots are written in one unbroken order, by owners of epochs that only rise. */
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
        const bool begins = header.kind == detail::BatchKind::Takeover;
        RC_ASSERT(header.epoch == last.epoch + (begins ? 1 : 0));
        RC_ASSERT(begins || header.writer == last.writer);
        last = header;
    }

    KeyValueService &m_service;
};

struct HeldUpWrite
{
    std::string key;
    Revision expected;
    std::string value;
};

/** One owner's way to the service, with the faults and the pause of the step that it is in. */
class OwnersWay final : public KeyValueService
{
public:
    OwnersWay(KeyValueService &service, std::vector<HeldUpWrite> &heldUp)
        : m_faulty(service)
        , m_heldUp(heldUp)
    {
    }
    void begin(const Step &step, std::function<void()> pause)
    {
        m_step = step;
        m_pause = std::move(pause);
        m_calls = 0;
        m_holdUps = 0;
    }
    void end()
    {
        m_faulty.down = false;
        m_faulty.refuseWrites = 0;
        m_faulty.loseWrites = 0;
        m_faulty.loseWriteAnswers = 0;
        m_holdUps = 0;
    }
    CasResult compareAndSwap(std::string_view key, Revision expected, std::string_view value, LeaseId lease) override
    {
        return call([&] {
            if (m_holdUps > 0) {
                --m_holdUps;
                m_heldUp.push_back({std::string(key), expected, std::string(value)});
                throw OutcomeUnknown("held up");
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
        case Fault::HoldUp:
            m_holdUps = m_step.faults;
            break;
        case Fault::Down:
            m_faulty.down = true;
            break;
        }
    }

    FaultyKeyValue m_faulty;
    std::vector<HeldUpWrite> &m_heldUp;
    Step m_step;
    std::function<void()> m_pause;
    int m_calls = 0;
    int m_holdUps = 0;
};

std::string encode(const Numbers &numbers)
{
    std::string text;
    for (const int it : numbers) {
        text += std::to_string(it) + ' ';
    }
    return text;
}

Numbers historyOf(const Replay &replay)
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

/** The service, three candidates, and what was promised to whom. */
class World
{
public:
    explicit World(std::uint32_t slots)
        : m_slots(slots)
    {
        for (int n = 0; n < 3; ++n) {
            m_owners.push_back(std::make_unique<Owner>(m_service, m_heldUp));
            restart(*m_owners.back());
        }
    }
    void run(const Step &step);
    void checkEnd();

    int fenced = 0;
    int settled = 0;
    int paused = 0;
    int full = 0;

private:
    struct Owner
    {
        Owner(KeyValueService &service, std::vector<HeldUpWrite> &heldUp)
            : way(service, heldUp)
        {
        }
        OwnersWay way;
        std::unique_ptr<Journal> journal;
        Numbers view;                   ///< everything that it knows to be written
        std::optional<Numbers> inDoubt; ///< empty for a snapshot
        bool busy = false;              ///< in a call, perhaps paused there
    };

    void act(Owner &owner, const Step &step);
    void work(Owner &owner, int size);
    void takeOver(Owner &owner);
    void append(Owner &owner, int size);
    void snapshot(Owner &owner);
    void resolve(Owner &owner);
    void restart(Owner &owner);
    void land(std::size_t index);
    void acknowledge(Owner &owner, const Numbers &numbers);
    void notWritten(const Numbers &numbers);
    void observe(const Numbers &history);
    JournalSettings settings();

    std::uint32_t m_slots;
    ManualClock m_clock;
    EmbeddedKeyValue m_store{m_clock};
    CheckedKeyValue m_service{m_store};
    std::vector<HeldUpWrite> m_heldUp;
    std::vector<std::unique_ptr<Owner>> m_owners;
    std::set<int> m_acknowledged;
    std::set<int> m_notWritten;
    Numbers m_longest; ///< history as far as anybody has seen it
    int m_lastNumber = 0;
    int m_lastWriter = 0;
};

void World::run(const Step &step)
{
    Owner &owner = *m_owners[step.owner];
    if (owner.busy) {
        return;
    }
    owner.busy = true;
    owner.way.begin(step, [this, &step] {
        ++paused;
        for (const Step &it : step.meanwhile) {
            run(it);
        }
    });
    act(owner, step);
    owner.way.end();
    owner.busy = false;
}

void World::act(Owner &owner, const Step &step)
{
    try {
        switch (step.action) {
        case Action::Work:
            return work(owner, step.size);
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
        case Action::Land:
            return land(step.size);
        }
    } catch (const Fenced &) {
        ++fenced;
    } catch (const LogFull &) {
        ++full;
    } catch (const Unavailable &) {
    }
}

void World::work(Owner &owner, int size)
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

void World::takeOver(Owner &owner)
{
    const std::set<int> before = m_acknowledged;
    owner.inDoubt.reset();
    owner.view = historyOf(owner.journal->takeOver());
    observe(owner.view);
    const std::set<int> seen(owner.view.begin(), owner.view.end());
    RC_ASSERT(std::ranges::includes(seen, before));
}

void World::append(Owner &owner, int size)
{
    Numbers numbers;
    std::vector<std::string> records;
    for (int n = 0; n < size; ++n) {
        numbers.push_back(++m_lastNumber);
        records.push_back(std::to_string(m_lastNumber));
    }
    try {
        owner.journal->append(records);
        acknowledge(owner, numbers);
    } catch (const OutcomeUnknown &) {
        if (owner.inDoubt) {
            return notWritten(numbers); // refused because of the batch before
        }
        owner.inDoubt = numbers;
    } catch (const Error &) {
        notWritten(numbers);
        throw;
    }
}

void World::snapshot(Owner &owner)
{
    try {
        owner.journal->snapshot(encode(owner.view));
    } catch (const OutcomeUnknown &) {
        if (!owner.inDoubt) {
            owner.inDoubt = Numbers();
        }
    }
}

void World::resolve(Owner &owner)
{
    if (!owner.inDoubt) {
        return;
    }
    try {
        if (owner.journal->resolve()) {
            acknowledge(owner, *owner.inDoubt);
        } else {
            notWritten(*owner.inDoubt);
        }
        owner.inDoubt.reset();
        ++settled;
    } catch (const FencedInDoubt &) {
        owner.inDoubt.reset();
    } catch (const OutcomeUnknown &) {
    } catch (const Fenced &) {
        notWritten(*owner.inDoubt);
        owner.inDoubt.reset();
        throw;
    }
}

void World::restart(Owner &owner)
{
    owner.journal = std::make_unique<Journal>(owner.way, settings());
    owner.view.clear();
    owner.inDoubt.reset();
}

void World::land(std::size_t index)
{
    if (m_heldUp.empty()) {
        return;
    }
    const auto it = m_heldUp.begin() + static_cast<std::ptrdiff_t>(index % m_heldUp.size());
    const HeldUpWrite write = *it;
    m_heldUp.erase(it);
    m_service.compareAndSwap(write.key, write.expected, write.value, 0);
}

void World::acknowledge(Owner &owner, const Numbers &numbers)
{
    owner.view.insert(owner.view.end(), numbers.begin(), numbers.end());
    m_acknowledged.insert(numbers.begin(), numbers.end());
    observe(owner.view);
}

void World::notWritten(const Numbers &numbers)
{
    m_notWritten.insert(numbers.begin(), numbers.end());
}

/** Whatever two readers see, one has seen the beginning of what the other has. */
void World::observe(const Numbers &history)
{
    const std::size_t n = std::min(history.size(), m_longest.size());
    RC_ASSERT(std::equal(history.begin(), history.begin() + static_cast<std::ptrdiff_t>(n), m_longest.begin()));
    if (history.size() > m_longest.size()) {
        m_longest = history;
    }
}

JournalSettings World::settings()
{
    JournalSettings settings;
    settings.name = "muuga";
    settings.writer = "entry-" + std::to_string(++m_lastWriter);
    settings.slots = m_slots;
    settings.chunkBytes = 16;
    return settings;
}

void World::checkEnd()
{
    while (!m_heldUp.empty()) {
        land(0);
    }
    Journal reader(m_service, settings());
    const Numbers history = historyOf(reader.read());
    observe(history);
    const std::set<int> written(history.begin(), history.end());
    RC_ASSERT(written.size() == history.size());
    RC_ASSERT(std::ranges::includes(written, m_acknowledged));
    for (const int it : m_notWritten) {
        RC_ASSERT(!written.contains(it));
    }
    RC_CLASSIFY(m_service.last.sequence > m_slots, "ring went round");
    RC_CLASSIFY(m_service.last.sequence > 5 * m_slots, "ring went round five times");
    RC_CLASSIFY(m_service.last.epoch > 3, "more than three owners");
    RC_CLASSIFY(fenced > 0, "an owner was fenced off");
    RC_CLASSIFY(settled > 0, "a batch in doubt was settled");
    RC_CLASSIFY(paused > 0, "an owner was paused in a call");
    RC_CLASSIFY(full > 0, "the ring was full");
}

struct NoModel
{
};

struct Act final : public rc::state::Command<NoModel, World>
{
    Step step = *genStep(true);

    void run(const NoModel & /*model*/, World &world) const override
    {
        world.run(step);
    }
    void show(std::ostream &os) const override
    {
        os << step;
    }
};

} // namespace

RC_GTEST_PROP(JournalProperty, losesRepeatsAndReordersNothing, ())
{
    RC_ASSERT(IsConfigured);
    World world(*rc::gen::element(8U, 12U, 16U));
    rc::state::check(NoModel(), world, rc::state::gen::execOneOfWithArgs<Act>());
    world.checkEnd();
}
