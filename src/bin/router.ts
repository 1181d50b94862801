#!/usr/bin/env node
import { startRouter } from "../node/router.js";
import { runDaemon } from "../node/runDaemon.js";
import { checkRouterSettings } from "../node/settings.js";

void runDaemon(checkRouterSettings, startRouter);
