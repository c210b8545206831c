// The settings object of a deployment, as JSON, into Settings; used by the adapter and the gateway alike.
#ifndef POSTSPREAD_SETTINGS_H_
#define POSTSPREAD_SETTINGS_H_

#include "json_read.h"
#include "postspread/control.h"

namespace postspread {

// Skips keys that it does not know. Throws json_read::JsonError, which names the faulty member.
Settings DecodeSettings(const nlohmann::json& from);

}  // namespace postspread

#endif  // POSTSPREAD_SETTINGS_H_
