// The settings object of a deployment, as JSON, into Settings; used by the adapter and the gateway alike.
#ifndef POSTSPREAD_CONFIG_SETTINGS_H_
#define POSTSPREAD_CONFIG_SETTINGS_H_

#include "config/json_reader.h"
#include "postspread/control.h"

namespace postspread {

// Skips members that it does not know. Throws json_reader::JsonError, which names the faulty member.
Settings DecodeSettings(const nlohmann::json& from);

}  // namespace postspread

#endif  // POSTSPREAD_CONFIG_SETTINGS_H_
