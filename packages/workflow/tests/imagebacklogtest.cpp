/** Tests of the choice of a best-effort job's shard by the backlog of its images. */
#include "rig.h"

namespace QuetzalRock::Workflow {

namespace {

constexpr std::int64_t ShardMillis = 1'000'000;

ShardMap makeMap(std::size_t shards)
{
    ShardMap map;
    for (std::size_t i = 0; i < shards; ++i) {
        map.shards.push_back({"d" + std::to_string(i), {{"pool", ShardMillis}}, {}});
    }
    return map;
}

ShardStatus makeStatus(std::map<std::string, int> tolerance, CpuByImage backlog)
{
    ShardStatus status;
    status.writtenAtMs = 1;
    status.longRunningCpuMillis = ShardMillis / 2;
    status.tolerance = std::move(tolerance);
    for (const auto &[image, ms] : backlog) {
        status.bestEffortBacklogMs += ms;
    }
    status.bestEffortBacklogByImage = std::move(backlog);
    return status;
}

WorkflowSpec makeBestEffortJob(const JobKey &key, const std::string &image)
{
    WorkflowSpec spec = Rig::makeJob(key, 20);
    spec.steps[0].usesSpareCpu = true;
    spec.steps[0].image = image;
    spec.steps[0].estimateMs = 2000;
    return spec;
}

/** Number of 100 jobs of @p image that go to each shard. */
std::vector<int> countChoices(const ShardMap &map, const ShardStatuses &statuses, const std::string &image)
{
    std::vector<int> n(map.shards.size());
    for (int i = 0; i < 100; ++i) {
        ++n[chooseShard(map, statuses, "pool", makeBestEffortJob("job" + std::to_string(i), image))];
    }
    return n;
}

} // namespace

// Load: jobs of one image queue in the only shard that is known to bear it, as most workers of the others turn them away,
// while another shard bears the image as well and has only work of other images waiting. Guards against a choice by the
// sum of the backlogs, which sends them on to the queue of their own image.
TEST(ImageBacklog, jobsAvoidTheQueueOfTheirOwnImage)
{
    const ShardMap map = makeMap(4);
    ShardStatuses statuses;
    statuses[0] = makeStatus({{"a", 80}}, {{"a", 2000}});
    statuses[1] = makeStatus({{"a", 80}}, {{"b", 2000}});
    statuses[2] = makeStatus({{"a", 15}}, {});
    statuses[3] = makeStatus({{"a", 15}}, {});
    EXPECT_EQ(countChoices(map, statuses, "a")[1], 100);
}

// Guards against a shard that bears an image best and gets all of its jobs, however long they already wait there.
TEST(ImageBacklog, aLongQueueOutweighsTheBetterTolerance)
{
    const ShardMap map = makeMap(2);
    ShardStatuses statuses;
    statuses[0] = makeStatus({{"a", 90}}, {{"a", 9000}});
    statuses[1] = makeStatus({{"a", 40}}, {});
    EXPECT_EQ(countChoices(map, statuses, "a")[1], 100);
    statuses[0] = makeStatus({{"a", 90}}, {{"a", 100}});
    EXPECT_EQ(countChoices(map, statuses, "a")[0], 100);
}

// Guards against another choice where the statuses don't show the backlog by image, as without the setting.
TEST(ImageBacklog, withoutItJobsAreSpreadByTolerance)
{
    const ShardMap map = makeMap(4);
    ShardStatuses statuses;
    for (ShardId i = 0; i < 4; ++i) {
        statuses[i] = makeStatus({{"a", 50}}, {});
        statuses[i].writtenAtMs = 0;
    }
    for (const int n : countChoices(map, statuses, "a")) {
        EXPECT_GT(n, 5);
    }
}

TEST(ImageBacklog, isStoredWithTheStatus)
{
    const ShardStatus status = makeStatus({{"a", 50}}, {{"a", 700}, {"b", 20}});
    EXPECT_EQ(decodeStatus(encodeStatus(status)), status);
}

} // namespace QuetzalRock::Workflow
