#include <peer/peer.h>

namespace QuetzalRock {

void PeerRouter::on(std::string method, PeerHandler handler)
{
    m_handlers[std::move(method)] = std::move(handler);
}

std::string PeerRouter::dispatch(const PeerCall &call) const
{
    const auto it = m_handlers.find(call.method);
    if (it == m_handlers.end()) {
        throw NotFound("no method " + std::string(call.method));
    }
    return it->second(call);
}

std::vector<std::string> PeerRouter::methods() const
{
    std::vector<std::string> names;
    for (const auto &[name, handler] : m_handlers) {
        names.push_back(name);
    }
    return names;
}

} // namespace QuetzalRock
