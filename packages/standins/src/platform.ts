#!/usr/bin/env node
import { runProgram } from './_lib/runProgram.ts'
import { servePlatform } from './servePlatform/index.ts'

runProgram({
  name: 'platform',
  flags: [
    { name: 'writes-per-second', description: 'rate limit of transactions and object writes; 0 for none', default: 400 },
    { name: 'reads-per-second', description: 'rate limit of reads; 0 for none', default: 2_000 }
  ],
  start: async ({ port, writesPerSecond, readsPerSecond }) => {
    const { url, close } = await servePlatform({
      port, writesPerSecond: writesPerSecond || Infinity, readsPerSecond: readsPerSecond || Infinity
    })
    return { addresses: { url }, close }
  }
})
