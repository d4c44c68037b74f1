(import 'coordinators.libsonnet')(3)
