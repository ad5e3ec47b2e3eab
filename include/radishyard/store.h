// \file Asynchronous access to the platform's object store, as an
// interface (object_store) and as a client over HTTP/JSON (MakeHttpStore).
#pragma once
#include "store/http_store.h"
#include "store/object_store.h"
