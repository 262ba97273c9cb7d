// The cases of the review that are scripts. Each returns the exit status: 0 the rule held, 1 it was broken, 2 it couldn't run.
#pragma once

#include "platform.h"

namespace Review {

struct Scene
{
    Platform &platform;
    bool hasTrouble = true;
};

void sleepMs(std::int64_t ms);
std::string stateOf(const Answer &answer); // "state" of a GET

int pendingBehindUnhealthy(Scene &scene);
int lostInTrial(Scene &scene);
int lostAfterRestart(Scene &scene);
int fractionalAdvice(Scene &scene);

} // namespace Review
