// Defines the functions through which the console previews and submits changes
// of the configuration and reads their history.

#ifndef SEQUOIAPATH_STATE_CONFIG_CONSOLE_H_
#define SEQUOIAPATH_STATE_CONFIG_CONSOLE_H_

#include "sequoiapath/state/config_store.h"
#include "sequoiapath/state/operator_backend.h"

namespace sequoiapath {

// Sets `preview`, `submit` and `history` of `backend` to functions that use
// `store`. Precondition: `store` outlives the backend. Thread safety: loop
// thread only.
void ConnectConfigStore(ConfigStore* store, OperatorBackend* backend);

}  // namespace sequoiapath

#endif  // SEQUOIAPATH_STATE_CONFIG_CONSOLE_H_
