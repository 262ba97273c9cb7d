#include <base/types.h>

namespace QuetzalRock {

bool Resources::fitsIn(const Resources &available) const
{
    return cpuMillis <= available.cpuMillis && memoryMib <= available.memoryMib
           && accelerators <= available.accelerators;
}

Resources &Resources::operator+=(const Resources &other)
{
    cpuMillis += other.cpuMillis;
    memoryMib += other.memoryMib;
    accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    cpuMillis -= other.cpuMillis;
    memoryMib -= other.memoryMib;
    accelerators -= other.accelerators;
    return *this;
}

Resources operator+(Resources a, const Resources &b)
{
    a += b;
    return a;
}

Resources operator-(Resources a, const Resources &b)
{
    a -= b;
    return a;
}

std::string toString(const TaskId &id)
{
    return std::to_string(id.job) + "." + std::to_string(id.index);
}

std::string toString(const AttemptId &id)
{
    return toString(id.task) + "/" + std::to_string(id.number);
}

} // namespace QuetzalRock
