export { describeSettings } from './describeSettings.ts'
export { loadSettings, type LoadedSettings, type SettingSource } from './loadSettings.ts'
export { environmentName, flagName, Settings, type SettingName } from './schema.ts'
