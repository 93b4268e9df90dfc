#!/usr/bin/env node
import '../dist/src/node/main.js'
