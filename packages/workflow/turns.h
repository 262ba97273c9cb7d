/**
 * In which order jobs get their turn. Answers this load: more work comes than can be done in time, for seconds or for the
 * whole day. First come, first served would then make every job late; here those that can still be in time go first.
 *
 * Index of this file
 *   JobHope       what can still become of a job
 *   JobTurn       sorts jobs; the smallest goes first
 *   turnOf()      the turn of a job at a time
 *   isStarving()  a lasting task that must not wait for room any longer
 *   longestChainMs(), remainingChainMs()   by declared estimates
 */
#pragma once

#include <workflow/progress.h>

#include <compare>

namespace QuetzalRock::Workflow {

enum class JobHope : std::uint8_t {
    InTime = 0, ///< can meet its latency objective
    Late = 1,   ///< is still worth something
    TooLate = 2,
};

struct JobTurn
{
    int priority = 0;
    bool isPatient = true;  ///< false: a lasting task of it has waited too long
    bool isLasting = false; ///< holds its room for long: short work of the same priority goes first
    JobHope hope = JobHope::InTime;
    bool isNew = true; ///< nothing of it is done: work already spent on others is saved first
    std::int64_t acceptedMs = 0;
    JobKey key;

    auto operator<=>(const JobTurn &) const = default;
};

constexpr double LateFactor = 3; ///< a job that takes so many times its objective is worth nothing

constexpr Duration LastingPatience = std::chrono::seconds(1); ///< its users are without it meanwhile

JobTurn turnOf(const JobState &job, std::int64_t wallMs, TimePoint now);

/** Answers this load: short tasks take each piece of room as it falls free, so that none gets large enough for this one. */
bool isStarving(const JobState &job, const StepSpec &step, const TaskState &task, TimePoint now);

std::int64_t longestChainMs(const WorkflowSpec &spec);
std::int64_t remainingChainMs(const JobState &job, const OccurrenceState &occurrence);

} // namespace QuetzalRock::Workflow
