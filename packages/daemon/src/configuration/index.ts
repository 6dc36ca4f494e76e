export { ConfigurationStore } from './ConfigurationStore.ts'
export { CONFIGURATION_ROW, ConfigurationTask } from './ConfigurationTask.ts'
export { getManifest, putManifest } from './_lib/manifestObjects.ts'
