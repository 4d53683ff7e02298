/**
 * @file engine_api.h
 * The HTTP interface of the model engine stand-in.
 */
#ifndef STANDINS_ENGINE_ENGINE_API_H
#define STANDINS_ENGINE_ENGINE_API_H

#include "standins/engine/engine.h"

/** @param arg the engine */
enum MHD_Result engine_api_serve(void *arg, struct standin_call *call);

#endif
