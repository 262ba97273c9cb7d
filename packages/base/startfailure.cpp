#include <base/startfailure.h>

#include <algorithm>

namespace QuetzalRock {

Error startFailure(const std::string &setting, std::string_view cause)
{
    std::string line = setting + ": " + std::string(cause);
    std::replace(line.begin(), line.end(), '\n', ' ');
    line.erase(line.find_last_not_of(' ') + 1);
    return {ErrorCode::Failed, line};
}

} // namespace QuetzalRock
