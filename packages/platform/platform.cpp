#include <platform/platform.h>

namespace QuetzalRock {

bool isEnded(AttemptState state)
{
    switch (state) {
    case AttemptState::Finished:
    case AttemptState::Failed:
    case AttemptState::Stopped:
    case AttemptState::Barred:
        return true;
    case AttemptState::Unknown:
    case AttemptState::Running:
    case AttemptState::Throttled:
        return false;
    }
    return false;
}

} // namespace QuetzalRock
