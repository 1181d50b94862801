#!/usr/bin/env node
import { runDaemon } from "../node/main.js";
import { startRouter } from "../node/router.js";
import { checkRouterSettings } from "../node/settings.js";

void runDaemon(checkRouterSettings, startRouter);
