/**
 * Plays serving and best-effort tasks of many images on a fleet of workers, without network, and prints how well the
 * pressure model protects the ones and uses the CPU that they leave to the others.
 *
 *   benchpressure [SEED]
 *
 * Per fleet and number of images, one row each for: a model that knows the effects from the start; the model as it is;
 * the same with serving images spread over all shards instead of gathered; the same with jobs sent to shards by their
 * backlog alone; the same without exchange between shards; and one that tells only 32 images apart.
 *
 * Columns: share of the offered best-effort work that was done; share of the time that serving tasks were over target;
 * share of all strong and mild neighbours of a service that are ranked rightly after 5, 10 and 20 s; processor time of
 * a report; stored size of a shard's model.
 */
#include "usage.h"

#include <workflow/pressure.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace QuetzalRock::Workflow::Bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration Step = 500ms; ///< between two reports of a worker; tail latencies cover this time
constexpr Duration PlayTime = 60s;
constexpr Duration ExchangeInterval = 1s;
constexpr int WorkersPerShard = 55;
constexpr int ServingPerWorker = 5;
constexpr int ServingPerStep = 24; ///< tasks of one step, whose loads swing together
constexpr double NeighbourShare = 0.1;
constexpr double TaskSeconds = 2.7;
constexpr double OfferedTasksPerWorker = 4; ///< best-effort tasks that would run at a time if none had to wait
constexpr std::size_t TasksPerJob = 40;
constexpr double MeanLoad = 0.42;
constexpr double Swing = 0.5; ///< relative to MeanLoad
constexpr double SwingSeconds = 10;
constexpr double BaseMs = 4;
constexpr std::int64_t TargetMs = 18;
constexpr double ReportNoise = 0.12; ///< relative
constexpr double StrongShare = 0.65;
constexpr double StrongEffect = 8.5;
constexpr double MildEffect = 1.2;

struct Variant
{
    const char *name;
    bool knowsEffects = false;
    bool gathersImages = true;
    bool usesTolerance = true;
    bool exchanges = true;
    int imageLimit = MaxClasses; ///< further images count as one
};

constexpr Variant Variants[] = {
    {"effects known", true},
    {"learned", false},
    {"learned, images spread", false, false},
    {"learned, jobs by backlog", false, true, false},
    {"learned, no exchange", false, true, true, false},
    {"learned, 32 images", false, true, true, true, 32},
};

struct Fleet
{
    int workers;
    int serving; ///< images
    int bestEffort;
};

struct ServingStep
{
    int image = 0;
    double phase = 0; ///< seconds
    StepLoad load;
};

struct RunningTask
{
    int image = 0;
    double workLeft = TaskSeconds;
    int percent = 100;
    double stalledSeconds = 0;
};

struct Worker
{
    std::vector<std::size_t> serving; ///< indices of its shard's steps, one per task
    std::vector<RunningTask> running;
};

struct Shard
{
    PressureModel model;
    std::vector<ServingStep> steps;
    std::vector<Worker> workers;
    std::vector<RunningTask> waiting;
    std::vector<int> order; ///< in which this shard first sees the images
};

class Play
{
public:
    Play(const Fleet &fleet, const Variant &variant, unsigned seed)
        : m_fleet(fleet)
        , m_variant(variant)
        , m_random(seed)
        , m_bestEffortImages(static_cast<std::size_t>(fleet.bestEffort))
    {
        drawEffects();
        const int shards = std::max(1, fleet.workers / WorkersPerShard);
        for (int i = 0; i < shards; ++i) {
            addShard(i, fleet.workers / shards);
        }
    }

    void run()
    {
        for (m_time = 0s; m_time < PlayTime; m_time += Step) {
            submitJobs();
            for (Shard &shard : m_shards) {
                place(shard);
                play(shard);
            }
            if (m_variant.exchanges && m_time % ExchangeInterval == Duration::zero()) {
                exchange();
            }
            if (m_time == 5s || m_time == 10s || m_time == 20s) {
                m_ranked.push_back(rankedRightly());
            }
        }
    }

    void print() const
    {
        const double stored = static_cast<double>(encodePressure(m_shards.front().model.save()).size());
        std::printf("%5d %3d+%-3d  %-26s %6.2f %9.3f   %4.2f %4.2f %4.2f %9.1f %8.1f\n",
                    m_fleet.workers,
                    m_fleet.serving,
                    m_fleet.bestEffort,
                    m_variant.name,
                    m_done / m_offered,
                    m_overSeconds / m_servingSeconds,
                    m_ranked[0],
                    m_ranked[1],
                    m_ranked[2],
                    m_reportSeconds / m_reports * 1e6,
                    stored / 1024);
    }

private:
    double unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void drawEffects()
    {
        for (int i = 0; i < m_fleet.serving * m_fleet.bestEffort; ++i) {
            const double effect = unit() < StrongShare ? StrongEffect : MildEffect;
            m_effects.push_back(effect * (0.9 + 0.2 * unit()));
        }
    }

    double effectOf(int service, int neighbour) const
    {
        return m_effects[static_cast<std::size_t>(service) * m_bestEffortImages + static_cast<std::size_t>(neighbour)];
    }

    void addShard(int number, int workers)
    {
        Shard &shard = m_shards.emplace_back();
        for (int i = 0; i < m_fleet.serving + m_fleet.bestEffort; ++i) {
            shard.order.push_back(i);
        }
        std::shuffle(shard.order.begin(), shard.order.end(), m_random);
        const int tasks = workers * ServingPerWorker;
        const int groups = std::max(1, m_fleet.serving * WorkersPerShard / m_fleet.workers); // images of a shard
        for (int i = 0; i < tasks / ServingPerStep; ++i) {
            const int image
                = m_variant.gathersImages ? (number * groups + i % groups) % m_fleet.serving : i % m_fleet.serving;
            shard.steps.push_back({image, SwingSeconds * unit(), {}});
        }
        shard.workers.resize(static_cast<std::size_t>(workers));
        for (int i = 0; i < tasks; ++i) { // half of the steps spread their tasks, so that workers hold tasks of several
            const std::size_t step = static_cast<std::size_t>(i / ServingPerStep) % shard.steps.size();
            const std::size_t worker
                = step % 2 == 0 ? static_cast<std::size_t>(i) : static_cast<std::size_t>(m_random());
            shard.workers[worker % shard.workers.size()].serving.push_back(step);
        }
        if (m_variant.knowsEffects) {
            SavedPressure known;
            for (int s = 0; s < m_fleet.serving; ++s) {
                SavedPressure::Service &it = known.services.emplace_back(
                    SavedPressure::Service{servingName(s), BaseMs * 1.3, MeanLoad * (1 + Swing), {}});
                for (int n = 0; n < m_fleet.bestEffort; ++n) {
                    it.pairs.push_back({bestEffortName(n), effectOf(s, n), 1000});
                }
            }
            shard.model.load(known);
        }
    }

    static std::string servingName(int image)
    {
        return "service" + std::to_string(image);
    }

    static std::string bestEffortName(int image)
    {
        return "batch" + std::to_string(image);
    }

    /** The class of an image; with a limit, the images that the shard saw last share one. */
    ClassIndex classOf(Shard &shard, int image, bool isServing)
    {
        const int number = isServing ? image : m_fleet.serving + image;
        const bool isBeyond = shard.order[static_cast<std::size_t>(number)] >= m_variant.imageLimit - 1;
        return shard.model.classOf(isBeyond ? "shared" : isServing ? servingName(image) : bestEffortName(image));
    }

    double trueLoad(const ServingStep &step) const
    {
        const double seconds = std::chrono::duration<double>(m_time).count() + step.phase;
        return MeanLoad * (1 + Swing * std::sin(seconds * 2 * M_PI / SwingSeconds));
    }

    TimePoint now() const
    {
        return TimePoint(1h + m_time);
    }

    /** Mean over the shard's workers of 1 / (1 + strongest effect on a serving task there). */
    double toleranceOf(Shard &shard, int image)
    {
        double sum = 0;
        const ClassIndex neighbour = classOf(shard, image, false);
        for (const Worker &worker : shard.workers) {
            double strongest = 0;
            for (const std::size_t step : worker.serving) {
                strongest
                    = std::max(strongest, shard.model.effect(classOf(shard, shard.steps[step].image, true), neighbour));
            }
            sum += 1 / (1 + strongest);
        }
        return sum / static_cast<double>(shard.workers.size());
    }

    /** As Workflow::chooseShard(): the best of three shards, drawn in proportion to their tolerance of the image. */
    Shard *chooseShard(int image)
    {
        std::vector<double> tolerances;
        for (Shard &it : m_shards) {
            tolerances.push_back(m_variant.usesTolerance ? toleranceOf(it, image) : 1);
        }
        std::discrete_distribution<std::size_t> draw(tolerances.begin(), tolerances.end());
        std::size_t best = draw(m_random);
        const auto costOf = [&](std::size_t shard) {
            return static_cast<double>(m_shards[shard].waiting.size() + TasksPerJob) / tolerances[shard];
        };
        for (int candidate = 1; candidate < 3; ++candidate) {
            const std::size_t other = draw(m_random);
            best = costOf(other) < costOf(best) ? other : best;
        }
        return &m_shards[best];
    }

    void submitJobs()
    {
        const double seconds = std::chrono::duration<double>(Step).count();
        m_owedTasks += OfferedTasksPerWorker * m_fleet.workers * seconds / TaskSeconds;
        while (m_owedTasks >= TasksPerJob) {
            m_owedTasks -= TasksPerJob;
            m_offered += TasksPerJob * TaskSeconds;
            const int image = static_cast<int>(m_random() % static_cast<unsigned>(m_fleet.bestEffort));
            Shard *best = chooseShard(image);
            best->waiting.insert(best->waiting.end(), TasksPerJob, {image});
        }
    }

    double allowedEffect(Shard &shard, const ServingStep &step, double margin)
    {
        const ClassIndex service = classOf(shard, step.image, true);
        const double load = shard.model.outlook(service, step.load, now(), Step, false).peakWithin(Step);
        return (shard.model.utilisationForTail(service, TargetMs) - margin) / load - 1;
    }

    std::vector<BestEffortTask> neighboursOn(Shard &shard, const Worker &worker)
    {
        std::vector<BestEffortTask> neighbours;
        for (const RunningTask &it : worker.running) {
            neighbours.push_back({classOf(shard, it.image, false), NeighbourShare, it.percent});
        }
        return neighbours;
    }

    /** Strongest effect of a task of @p image on a serving task of @p worker; negative if it must not run there. */
    double strongestEffect(Shard &shard, Worker &worker, int image)
    {
        const std::vector<BestEffortTask> neighbours = neighboursOn(shard, worker);
        double strongest = 0;
        for (const std::size_t it : worker.serving) {
            const ClassIndex service = classOf(shard, shard.steps[it].image, true);
            const double own = shard.model.effect(service, classOf(shard, image, false)) * NeighbourShare;
            const double total = shard.model.totalEffect(service, neighbours) + own;
            if (total > allowedEffect(shard, shard.steps[it], PressureSettings().placementMargin)) {
                return -1;
            }
            strongest = std::max(strongest, own);
        }
        return strongest;
    }

    void place(Shard &shard)
    {
        std::vector<RunningTask> stillWaiting;
        std::vector<bool> hasNoWorker(static_cast<std::size_t>(m_fleet.bestEffort));
        for (const RunningTask &task : shard.waiting) {
            const int image = task.image;
            Worker *best = nullptr;
            double bestCost = 0;
            for (Worker &worker : shard.workers) {
                if (hasNoWorker[static_cast<std::size_t>(image)]) {
                    break;
                }
                const double effect = strongestEffect(shard, worker, image);
                const double cost = effect + NeighbourShare * static_cast<double>(worker.running.size());
                if (effect >= 0 && (best == nullptr || cost < bestCost)) {
                    best = &worker;
                    bestCost = cost;
                }
            }
            if (best != nullptr) {
                best->running.push_back({image, task.workLeft});
            } else {
                hasNoWorker[static_cast<std::size_t>(image)] = true;
                stillWaiting.push_back(task);
            }
        }
        shard.waiting = std::move(stillWaiting);
    }

    /** Half a second on each worker: serving tasks are slowed down, best-effort tasks progress, reports are processed. */
    void play(Shard &shard)
    {
        const double seconds = std::chrono::duration<double>(Step).count();
        for (Worker &worker : shard.workers) {
            Shares shares;
            for (const RunningTask &it : worker.running) {
                shares.add(classOf(shard, it.image, false), static_cast<float>(NeighbourShare * it.percent / 100));
            }
            for (const std::size_t it : worker.serving) {
                ServingStep &step = shard.steps[it];
                const std::int64_t tail = tailOf(worker, step);
                m_servingSeconds += seconds;
                m_overSeconds += tail > TargetMs ? seconds : 0;
                const double noisy = static_cast<double>(tail) * (1 + ReportNoise * (2 * unit() - 1));
                const double begin = cpuSeconds();
                shard.model.observe(classOf(shard, step.image, true), std::llround(noisy), shares, now(), step.load);
                m_reportSeconds += cpuSeconds() - begin;
                ++m_reports;
            }
            for (RunningTask &it : worker.running) {
                const double work = std::min(it.workLeft, seconds * it.percent / 100);
                it.workLeft -= work;
                m_done += work;
            }
            std::erase_if(worker.running, [](const RunningTask &it) { return it.workLeft <= 0; });
            throttle(shard, worker);
        }
        const double begin = cpuSeconds();
        shard.model.refresh(now());
        m_reportSeconds += cpuSeconds() - begin;
    }

    std::int64_t tailOf(const Worker &worker, const ServingStep &step) const
    {
        double effects = 0;
        for (const RunningTask &it : worker.running) {
            effects += effectOf(step.image, it.image) * NeighbourShare * it.percent / 100;
        }
        const double utilisation = std::min(0.99, trueLoad(step) * (1 + effects));
        return std::llround(BaseMs / (1 - utilisation));
    }

    void throttle(Shard &shard, Worker &worker)
    {
        const double seconds = std::chrono::duration<double>(Step).count();
        const std::vector<BestEffortTask> neighbours = neighboursOn(shard, worker);
        std::vector<int> percents(neighbours.size(), 100);
        for (const std::size_t it : worker.serving) {
            planThrottle(shard.model,
                         classOf(shard, shard.steps[it].image, true),
                         allowedEffect(shard, shard.steps[it], PressureSettings().targetMargin),
                         neighbours,
                         percents);
        }
        for (std::size_t i = 0; i < percents.size(); ++i) {
            RunningTask &it = worker.running[i];
            it.percent = percents[i];
            it.stalledSeconds = it.percent > PressureSettings().stalledPercent ? 0 : it.stalledSeconds + seconds;
        }
        std::erase_if(worker.running, [&shard](const RunningTask &it) { // moved to another worker, with its checkpoint
            const bool isStalled = it.stalledSeconds > 1.2;
            if (isStalled) {
                shard.waiting.push_back({it.image, it.workLeft});
            }
            return isStalled;
        });
    }

    void exchange()
    {
        std::vector<SavedPressure> saved;
        for (const Shard &it : m_shards) {
            saved.push_back(it.model.save());
        }
        for (std::size_t i = 0; i < m_shards.size(); ++i) {
            std::vector<SavedPressure> others = saved;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            m_shards[i].model.importPeers(others);
        }
    }

    /** Share of a service's strong neighbours with a larger effect than a mild one, over all pairs of neighbours. */
    double rankedRightly()
    {
        Shard &shard = m_shards.front();
        double right = 0;
        double total = 0;
        for (int service = 0; service < m_fleet.serving; ++service) {
            const ClassIndex index = classOf(shard, service, true);
            for (int strong = 0; strong < m_fleet.bestEffort; ++strong) {
                for (int mild = 0; mild < m_fleet.bestEffort; ++mild) {
                    if (effectOf(service, strong) > StrongEffect / 2 && effectOf(service, mild) < StrongEffect / 2) {
                        const double difference = shard.model.effect(index, classOf(shard, strong, false))
                                                  - shard.model.effect(index, classOf(shard, mild, false));
                        right += difference > 0 ? 1 : difference == 0 ? 0.5 : 0;
                        ++total;
                    }
                }
            }
        }
        return right / total;
    }

    const Fleet &m_fleet;
    const Variant &m_variant;
    std::mt19937 m_random;
    std::size_t m_bestEffortImages;
    std::vector<double> m_effects; ///< by serving image, then best-effort image
    std::vector<Shard> m_shards;
    Duration m_time{};
    double m_owedTasks = 0;
    double m_offered = 0; ///< seconds of best-effort work
    double m_done = 0;
    double m_servingSeconds = 0;
    double m_overSeconds = 0;
    double m_reportSeconds = 0; ///< processor time
    double m_reports = 0;
    std::vector<double> m_ranked;
};

} // namespace

} // namespace QuetzalRock::Workflow::Bench

int main(int argc, char **argv)
{
    using namespace QuetzalRock::Workflow::Bench;
    const unsigned seed = argc > 1 ? static_cast<unsigned>(std::strtoul(argv[1], nullptr, 10)) : 1;
    constexpr Fleet Fleets[] = {{60, 5, 9}, {350, 10, 18}, {1100, 16, 30}, {1100, 40, 60}};
    std::printf(
        "workers images  variant                      done over-target  ranked 5/10/20 s  us/report KB stored\n");
    for (const Fleet &fleet : Fleets) {
        for (const Variant &variant : Variants) {
            Play play(fleet, variant, seed);
            play.run();
            play.print();
        }
    }
    return 0;
}
