#include <scheduler/shardstate.h>

#include <gtest/gtest.h>
#include <msgpack.hpp>

using namespace QuetzalRock;

namespace {

JobSpec someSpec()
{
    JobSpec spec;
    spec.id = (JobId(7) << 48) | 3;
    spec.tenant = "crew";
    spec.name = "verify";
    spec.taskCount = 2;
    spec.resources = {500, 200, 1};
    spec.runTime = std::chrono::seconds(90);
    spec.command = "verify --all";
    return spec;
}

std::string packRecord(int type, int version)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(3);
    packer.pack(type);
    packer.pack(version);
    packer.pack_array(0);
    return {buffer.data(), buffer.size()};
}

std::vector<Record> someHistory()
{
    const JobSpec spec = someSpec();
    const AttemptId first{{spec.id, 0}, 1};
    const TransferId transfer{9, 4};
    JobSpec moved = spec;
    moved.id = (JobId(9) << 48) | 1;
    moved.name = "moved";
    return {JobSubmitted{spec, WallTime(1)},
            AttemptAssigned{first, "w1", spec.resources, WallTime(2), "room"},
            StopRequested{first, StopMode::Checkpoint, {}, "guard"},
            AttemptEnded{first, AttemptState::Stopped, EndCause::WorkerReport, 0.5, "ckpt", {}, WallTime(3)},
            AttemptAssigned{{{spec.id, 0}, 2}, "w2", spec.resources, WallTime(4), "room"},
            AllotmentSet{"crew", {9000, 9000, 0}},
            TransferInitiated{{7, 1}, "mazara", 0, "crew", {1000, 0, 0}, WallTime(5)},
            TransferAccepted{transfer, "sciacca", moved, {{3, 1, true, 1, {}}}, {}, {}, 2, WallTime(6)},
            OperatorChanged{"next operator", WallTime(7)}};
}

} // namespace

TEST(Records, encodingRoundTripGivesSameState)
{
    ShardState direct;
    ShardState read;
    for (const Record &it : someHistory()) {
        direct.apply(it);
        read.apply(decodeRecord(encodeRecord(it)));
    }
    EXPECT_EQ(direct.encode(), read.encode());
    EXPECT_EQ(read.operatorName, "next operator");
    EXPECT_EQ(read.findTask({someSpec().id, 0})->checkpoint, "ckpt");
    EXPECT_EQ(read.allotments.at("crew").cpuMillis, 8000);
}

TEST(Records, snapshotRoundTripPreservesState)
{
    ShardState state;
    for (const Record &it : someHistory()) {
        state.apply(it);
        const ShardState read = ShardState::decode(state.encode(), {});
        EXPECT_EQ(read.encode(), state.encode());
        EXPECT_EQ(read.jobIdsByName, state.jobIdsByName);
    }
}

TEST(Records, rejectsNewerVersionsAndMalformedBytes)
{
    EXPECT_THROW(decodeRecord(packRecord(99, 1)), IncompatibleRecord);
    EXPECT_THROW(decodeRecord(packRecord(1, 2)), IncompatibleRecord);
    EXPECT_THROW(decodeRecord(packRecord(0, 1)), IncompatibleRecord);
    std::string snapshot = ShardState().encode();
    snapshot[1] = 9; // the snapshot version
    EXPECT_THROW(ShardState::decode(snapshot, {}), IncompatibleRecord);
    EXPECT_THROW(decodeRecord("\xc1"), InvalidArgument);
    EXPECT_THROW(decodeRecord("x"), InvalidArgument);
}

TEST(Records, readsAnOlderRecordWithFewerFields)
{
    const Record record = decodeRecord(packRecord(1, 1));
    EXPECT_EQ(std::get<JobSubmitted>(record).spec.taskCount, JobSpec().taskCount);
}

TEST(Records, obsoleteRecordsHaveNoEffect)
{
    ShardState state;
    for (const Record &it : someHistory()) {
        state.apply(it);
    }
    const AttemptId first{{someSpec().id, 0}, 1};
    const AttemptId moved{{(JobId(9) << 48) | 1, 1}, 4};
    state.apply(AttemptAssigned{moved, "w1", {}, WallTime(8), {}});
    const std::string before = state.encode();
    state.apply(AttemptEnded{first, AttemptState::Finished, EndCause::WorkerReport, 1, {}, {}, WallTime(9)});
    state.apply(AttemptAssigned{first, "w9", {}, WallTime(9), {}});
    state.apply(someHistory()[7]);
    EXPECT_EQ(state.encode(), before);
}

TEST(Records, limitsHistoryAndDropsItsNames)
{
    ShardState state;
    state.limits = {2, 2};
    for (JobId id = 1; id <= 3; ++id) {
        JobSpec spec = someSpec();
        spec.id = id;
        spec.name = "job" + std::to_string(id);
        state.apply(JobSubmitted{spec, WallTime(1)});
        state.apply(AttemptAssigned{{{id, 0}, 1}, "w1", {}, WallTime(2), {}});
        state.apply(JobCancelled{id, WallTime(3)});
        EXPECT_EQ(state.jobs.size(), 1U) << "stays until the end of its attempt is known";
        state.apply(AttemptEnded{{{id, 0}, 1}, AttemptState::Stopped, EndCause::WorkerReport, 0, {}, {}, WallTime(4)});
    }
    EXPECT_EQ(state.endedJobs.size(), 2U);
    EXPECT_EQ(state.endedAttempts.size(), 2U);
    EXPECT_EQ(state.jobIdsByName.size(), 2U);
    EXPECT_EQ(state.lastJobNumber, 3U);
}

TEST(Records, exportsOneJsonObjectPerLine)
{
    ShardState state;
    for (const Record &it : someHistory()) {
        state.apply(it);
    }
    const std::string text = exportHistory(state);
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 4) << text;
    EXPECT_NE(text.find(R"("state":"stopped","cause":"worker_report")"), std::string::npos) << text;
}
