#include "peer/peer_mesh.h"
