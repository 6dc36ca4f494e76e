#!/usr/bin/env node
/** The operators' command line. */
import { cac } from 'cac'

const cli = cac('gypsumctl')
cli.help()
cli.parse()
