/** JSON encoding of platform messages for HttpPlatform and PlatformServer. Parse functions throw InvalidArgument. */
#pragma once

#include <platform/platform.h>

#include <nlohmann/json.hpp>

namespace QuetzalRock {

nlohmann::json toJson(const Resources &resources);
nlohmann::json toJson(const KeyValue &entry);
nlohmann::json toJson(const CasResult &result);
nlohmann::json toJson(const WatchResult &result);
nlohmann::json toJson(const Vm &vm);
nlohmann::json toJson(const AttemptId &id);
nlohmann::json toJson(const StartCommand &command);
nlohmann::json toJson(const WorkerReport &report);

Resources parseResources(const nlohmann::json &json);
KeyValue parseKeyValue(const nlohmann::json &json);
CasResult parseCasResult(const nlohmann::json &json);
WatchResult parseWatchResult(const nlohmann::json &json);
Vm parseVm(const nlohmann::json &json);
AttemptId parseAttemptId(const nlohmann::json &json);
StartCommand parseStartCommand(const nlohmann::json &json);
WorkerReport parseWorkerReport(const nlohmann::json &json);

std::string_view vmStateName(VmState state); ///< "live", "leaving", "gone"
VmState parseVmState(std::string_view name);
std::string_view attemptStateName(AttemptState state); ///< "running", "finished", ...

/** Parses @p text. Throws InvalidArgument if it is not valid JSON. */
nlohmann::json parseJson(std::string_view text);

// Values are arbitrary bytes and are base64-encoded in JSON.
std::string encodeBase64(std::string_view bytes);
std::string decodeBase64(std::string_view text);

} // namespace QuetzalRock
