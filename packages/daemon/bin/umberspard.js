#!/usr/bin/env node
import { main } from '../dist/src/node/main.js'

await main(process.argv)
